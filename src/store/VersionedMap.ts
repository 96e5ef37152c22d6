import { StoreError } from '../common/base/index.js';
import type { KeyRange, KeyVersion, RangeResult, RangeQuery } from './Types.js';

const emptyValue = new Uint8Array(0);

/** Range end that selects all keys from the start of the range on. */
export const openEnd = '\0';

/** Tells whether a range contains a key. */
export function isInRange(range: KeyRange, key: string): boolean {
  if (range.end === '') return key === range.key;
  return key >= range.key && (range.end === openEnd || key < range.end);
}

/**
 * Map from keys to all their versions since the last compaction. Keeps a change log, so that a watch can be resumed.
 */
export class VersionedMap {
  private readonly versions = new Map<string, KeyVersion[]>();

  /** All keys that have versions, sorted. */
  private keys: string[] = [];

  private log: KeyVersion[] = [];

  private latest = 1;

  private compacted = 0;

  /** @param historyLimit Number of changes that compaction keeps for reads and watches of past revisions. */
  public constructor(private readonly historyLimit = 8192) {}

  /** Revision of the last write. */
  public get revision(): number {
    return this.latest;
  }

  /** Oldest revision whose changes are all in the log. */
  public get compactRevision(): number {
    return this.compacted;
  }

  /** Latest version of a key, or `undefined` if the key does not exist. */
  public find(key: string): KeyVersion | undefined {
    const last = this.versions.get(key)?.at(-1);
    return last === undefined || last.version === 0 ? undefined : last;
  }

  /** Reads a range; throws `StoreError` for a future or compacted revision. */
  public range(query: RangeQuery): RangeResult {
    const revision = this.checkRevision(query.revision);
    const entries = this.keysInRange(query)
      .map((key) => this.findAt(key, revision))
      .filter((entry) => entry !== undefined);
    const limited = query.limit > 0 ? entries.slice(0, query.limit) : entries;
    return { entries: limited, count: entries.length };
  }

  /** Writes a value at the next revision, which `commit` makes the current one. */
  public put(key: string, value: Uint8Array, lease: string): void {
    const previous = this.find(key);
    this.append({
      key,
      value,
      createRevision: previous?.createRevision ?? this.latest + 1,
      modRevision: this.latest + 1,
      version: (previous?.version ?? 0) + 1,
      lease,
    });
  }

  /** Deletes the existing keys of a range and returns their last versions. */
  public delete(range: KeyRange): KeyVersion[] {
    const existing = this.keysInRange(range)
      .map((key) => this.find(key))
      .filter((entry) => entry !== undefined);
    existing.forEach((entry) => {
      this.append({
        key: entry.key,
        value: emptyValue,
        createRevision: 0,
        modRevision: this.latest + 1,
        version: 0,
        lease: '0',
      });
    });
    return existing;
  }

  /** Commits the writes since the last commit under one revision; without a write the revision stays the same. */
  public commit(): void {
    if (this.log.at(-1)?.modRevision === this.latest + 1) this.latest += 1;
    if (this.log.length > this.historyLimit * 2) this.compact();
  }

  /** Changes in a range from `revision` on, oldest first. */
  public changesFrom(revision: number, range: KeyRange): KeyVersion[] {
    return this.log
      .slice(this.logIndexOf(revision))
      .filter((change) => isInRange(range, change.key));
  }

  /** Index of the first change in the log at or after `revision`. */
  private logIndexOf(revision: number): number {
    let low = 0;
    let high = this.log.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.log[middle]?.modRevision ?? 0) < revision) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  private checkRevision(revision: number): number {
    if (revision > this.latest) {
      throw new StoreError('the revision lies in the future', 'not-applied', {
        step: 'map.range',
      });
    }
    if (revision > 0 && revision < this.compacted) {
      throw new StoreError('the revision has been compacted', 'not-applied', {
        step: 'map.range',
      });
    }
    return revision === 0 ? this.latest : revision;
  }

  private findAt(key: string, revision: number): KeyVersion | undefined {
    const found = this.versions.get(key)?.findLast((entry) => entry.modRevision <= revision);
    return found === undefined || found.version === 0 ? undefined : found;
  }

  private keysInRange(range: KeyRange): string[] {
    if (range.end === '') return this.versions.has(range.key) ? [range.key] : [];
    const start = this.keyIndexOf(range.key);
    const stop = range.end === openEnd ? this.keys.length : this.keyIndexOf(range.end);
    return this.keys.slice(start, stop);
  }

  /** Index of the first sorted key that is not less than `key`. */
  private keyIndexOf(key: string): number {
    let low = 0;
    let high = this.keys.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.keys[middle] ?? '') < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  private append(entry: KeyVersion): void {
    const versions = this.versions.get(entry.key);
    if (versions === undefined) {
      this.versions.set(entry.key, [entry]);
      this.keys.splice(this.keyIndexOf(entry.key), 0, entry.key);
    } else {
      versions.push(entry);
    }
    this.log.push(entry);
  }

  /** Drops the older half of the log and the versions that only reads of compacted revisions could return. */
  private compact(): void {
    const kept = this.log.slice(-this.historyLimit);
    this.compacted = kept[0]?.modRevision ?? this.latest;
    // Keeps all changes of a transaction that straddles the compaction boundary.
    this.log = this.log.filter((change) => change.modRevision >= this.compacted);
    [...this.versions].forEach(([key, versions]) => this.compactKey(key, versions));
    this.keys = this.keys.filter((key) => this.versions.has(key));
  }

  private compactKey(key: string, versions: KeyVersion[]): void {
    const base = versions.findLastIndex((entry) => entry.modRevision <= this.compacted);
    const kept = versions.slice(Math.max(0, base));
    const isGone = kept.length === 1 && kept[0]?.version === 0;
    if (isGone) this.versions.delete(key);
    else this.versions.set(key, kept);
  }
}
