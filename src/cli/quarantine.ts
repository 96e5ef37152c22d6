/** Records of the quarantine in the store, written by `src/common/operations`. */
import type { Store } from '../common/services/Types.js';

const prefix = 'quarantine/';
/** Crashes after which a fingerprint is refused. */
const crashLimit = 2;

/** A fingerprint that was in flight at a crash of a target. */
export interface QuarantineRecord {
  readonly fingerprint: string;
  readonly standing: 'suspect' | 'quarantined';
  /** Target and incarnation of each crash. */
  readonly crashes: readonly string[];
  /** Wall-clock time of the last crash in milliseconds. */
  readonly crashedAt: number;
}

/** Reads all records; throws `StoreError`. */
export async function listQuarantine(store: Store): Promise<QuarantineRecord[]> {
  const entries = await store.range({ prefix });
  return entries.map(({ key, value }) => {
    const record = JSON.parse(new TextDecoder().decode(value)) as Omit<
      QuarantineRecord,
      'fingerprint' | 'standing'
    >;
    const standing = record.crashes.length >= crashLimit ? 'quarantined' : 'suspect';
    return { fingerprint: key.slice(prefix.length), standing, ...record };
  });
}

/** Deletes records. A repeated delete does no harm, so a lost answer is settled by running it again. */
export async function clearQuarantine(
  store: Store,
  fingerprints: readonly string[],
): Promise<void> {
  await store.transact(
    [],
    fingerprints.map((fingerprint) => ({ type: 'delete', key: `${prefix}${fingerprint}` })),
  );
}
