import type { IntentLog, PendingIntent } from './Types.js';

/** Intent log of issued keys. It stores nothing: no other process may start them, so the ledger in memory is enough. */
export const noopIntentLog: IntentLog = {
  record: (): PendingIntent => ({ durable: Promise.resolve(0), cancel: () => true }),
  append: () => {},
  isOwnershipConfirmedSince: () => true,
  confirmOwnership: () => Promise.resolve(true),
  read: () => Promise.resolve(undefined),
};
