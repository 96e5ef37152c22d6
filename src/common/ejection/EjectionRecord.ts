import { StoreError } from '../base/index.js';
import type { ServiceName, TargetId } from '../base/index.js';
import type { Store, StoreWrite } from '../services/Types.js';
import type { EjectionEntry, RecordSnapshot } from './Types.js';

/** Result of a write to the record. */
export type RecordWriteResult = 'applied' | 'conflict';

const maxAttempts = 3;

interface Document {
  readonly version: 1;
  readonly entries: readonly EjectionEntry[];
}

/** Key of the record of a service. */
export function ejectionKey(service: ServiceName): string {
  return `ejection/${service}`;
}

function parse(value: Uint8Array, key: string): readonly EjectionEntry[] {
  try {
    const document = JSON.parse(new TextDecoder().decode(value)) as Document;
    if (document.version === 1 && Array.isArray(document.entries)) return document.entries;
  } catch (cause) {
    throw new StoreError(`${key} is not valid JSON`, 'not-applied', {
      step: 'ejection.read',
      cause,
    });
  }
  throw new StoreError(`${key} has an unknown format`, 'not-applied', { step: 'ejection.read' });
}

/** The store record `ejection/<service>`. All writes are compare-and-swap on the revision that was read. */
export class EjectionRecord {
  private readonly key: string;

  public constructor(
    private readonly store: Store,
    service: ServiceName,
  ) {
    this.key = ejectionKey(service);
  }

  /** Reads the record; throws `StoreError`. */
  public async read(): Promise<RecordSnapshot> {
    const entry = await this.store.get(this.key);
    if (entry === undefined) return { revision: 0, entries: [] };
    return { revision: entry.modRevision, entries: parse(entry.value, this.key) };
  }

  /**
   * Adds or replaces the entry of a target in `snapshot`. Any other change since then is a conflict, so that an
   * ejection is always based on the record that was counted for the floor. Throws `StoreError` with outcome `unknown`
   * if the write may still take effect; the caller then calls `remove`.
   */
  public add(snapshot: RecordSnapshot, entry: EjectionEntry): Promise<RecordWriteResult> {
    const others = snapshot.entries.filter((other) => other.target !== entry.target);
    const isOurs = (present: RecordSnapshot) =>
      present.entries.some((other) => other.token === entry.token);
    return this.swap(snapshot, [...others, entry], isOurs);
  }

  /**
   * Removes the entry of a target and retries on conflicts. With `isFencing` it also writes if the target is not
   * listed, because the new revision makes an earlier write fail that may still be in flight.
   */
  public async remove(target: TargetId, isFencing = false): Promise<void> {
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      const snapshot = await this.read();
      const others = snapshot.entries.filter((other) => other.target !== target);
      if (others.length === snapshot.entries.length && !isFencing) return;
      const isGone = (present: RecordSnapshot) =>
        present.revision !== snapshot.revision &&
        !present.entries.some((other) => other.target === target);
      if ((await this.swap(snapshot, others, isGone)) === 'applied') return;
    }
    throw new StoreError(`${this.key} changed during ${maxAttempts} writes`, 'not-applied', {
      step: 'ejection.remove',
    });
  }

  private async swap(
    snapshot: RecordSnapshot,
    entries: readonly EjectionEntry[],
    isApplied: (present: RecordSnapshot) => boolean,
  ): Promise<RecordWriteResult> {
    const document: Document = { version: 1, entries };
    const value = new TextEncoder().encode(JSON.stringify(document));
    const compare = { key: this.key, modRevision: snapshot.revision };
    const write: StoreWrite = { type: 'put', key: this.key, value };
    let lostError: unknown;
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      try {
        const result = await this.store.transact([compare], [write]);
        if (result.applied) return 'applied';
        // After a lost response the conflict may be with the own write.
        return lostError !== undefined && isApplied(await this.read()) ? 'applied' : 'conflict';
      } catch (error) {
        if (!(error instanceof StoreError) || error.outcome === 'not-applied') {
          if (lostError === undefined) throw error;
        } else lostError = error;
      }
    }
    throw lostError;
  }
}
