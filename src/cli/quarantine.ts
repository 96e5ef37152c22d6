/** Quarantine records in the store, which `src/common/operations` writes. */
import type { Store } from '../common/services/Types.js';

const quarantinePrefix = 'quarantine/';
/** Crashes after which requests with a fingerprint are refused. */
const crashLimit = 2;

/** Fingerprint of requests that were in flight when a target crashed. */
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
  const entries = await store.range({ prefix: quarantinePrefix });
  return entries.map(({ key, value }) => {
    const record = JSON.parse(new TextDecoder().decode(value)) as Omit<
      QuarantineRecord,
      'fingerprint' | 'standing'
    >;
    const standing = record.crashes.length >= crashLimit ? 'quarantined' : 'suspect';
    return { fingerprint: key.slice(quarantinePrefix.length), standing, ...record };
  });
}

/** Deletes records. Deleting is idempotent, so a call whose answer was lost can be repeated; throws `StoreError`. */
export async function clearQuarantine(
  store: Store,
  fingerprints: readonly string[],
): Promise<void> {
  await store.transact(
    [],
    fingerprints.map((fingerprint) => ({
      type: 'delete',
      key: `${quarantinePrefix}${fingerprint}`,
    })),
  );
}
