import { Emitter, type Clock, type Disposable } from '../base/index.js';
import type { StoreChange } from '../services/Types.js';
import { RevisionCompactedError } from './errors.js';
import { comparePositions, firstEpoch, type StorePosition } from './StorePosition.js';
import type { StoreChanges, StoreSnapshot } from './Types.js';

/** Deleted keys that are kept, so that daemons that follow this mirror learn of the deletions. */
const maxDeletions = 1_000;

/** Entries under one prefix as they were last seen in the store, from which other daemons can follow the changes. */
export class StoreMirror implements Disposable {
  /** Last change of each key, oldest first. */
  private readonly latest = new Map<string, StoreChange>();

  private readonly confirmEmitter = new Emitter<void>();

  /** Fires after each successful read, with or without changes. */
  public readonly onConfirm = this.confirmEmitter.event;

  private readonly progressEmitter = new Emitter<void>();

  /** Fires while a newer state arrives. */
  public readonly onProgress = this.progressEmitter.event;

  private lastProgressAt = -Infinity;

  private known: StorePosition | undefined;

  /** Revision before which changes may be missing here. */
  private compacted = 0;

  private deletions = 0;

  private lastConfirmedAt = -Infinity;

  public constructor(private readonly clock: Clock) {}

  /** Position up to which all changes are known; undefined before the first snapshot. */
  public get position(): StorePosition | undefined {
    return this.known;
  }

  /** Milliseconds since the store confirmed that `position` is the newest; infinite before the first snapshot. */
  public get age(): number {
    return this.clock.elapsed() - this.lastConfirmedAt;
  }

  /** Monotonic time at which the store last confirmed that `position` is the newest; -Infinity before the first snapshot. */
  public get confirmedAt(): number {
    return this.lastConfirmedAt;
  }

  /** Monotonic time at which a part of a newer state last arrived; -Infinity if none has. */
  public get progressedAt(): number {
    return this.lastProgressAt;
  }

  /** Records that a part of a newer state has arrived. */
  public recordProgress(): void {
    this.lastProgressAt = this.clock.elapsed();
    this.progressEmitter.fire();
  }

  /** Replaces all entries by those that the store had `age` milliseconds ago, unless newer changes are known. */
  public replace({ entries, epoch, revision }: StoreSnapshot, age: number): void {
    if (this.known !== undefined && comparePositions({ epoch, revision }, this.known) < 0) return;
    this.latest.clear();
    this.deletions = 0;
    entries.forEach((entry) => this.latest.set(entry.key, { type: 'put', entry }));
    // Followers may know keys that were deleted since and that this mirror has never seen.
    this.compacted = revision;
    this.known = { epoch, revision };
    this.confirm(age);
    this.confirmEmitter.fire();
  }

  /**
   * Adds changes that follow `position`, confirmed by the store `age` milliseconds ago, unless they are of another epoch.
   * Returns them with the deletions that only the list of keys shows.
   */
  public add(
    { changes, epoch, revision, keys }: StoreChanges,
    age: number,
  ): readonly StoreChange[] {
    if (this.known?.epoch !== epoch) return [];
    const all = keys === undefined ? changes : [...this.missing(keys, revision), ...changes];
    all.forEach((change) => this.addChange(change));
    this.known = { epoch, revision: Math.max(this.known.revision, revision) };
    this.confirm(age);
    this.confirmEmitter.fire();
    return all;
  }

  /** All entries; undefined before the first snapshot. */
  public get snapshot(): StoreSnapshot | undefined {
    if (this.known === undefined) return undefined;
    const entries = [...this.latest.values()].flatMap(({ type, entry }) =>
      type === 'put' ? [entry] : [],
    );
    return { ...this.known, entries };
  }

  /**
   * Last change of each key after a position, oldest first, with a list of all keys if deletions after it may be missing.
   * Throws `RevisionCompactedError` if the position is of an earlier epoch; of a later one there are no changes yet.
   */
  public changesAfter({ epoch, revision }: StorePosition): StoreChanges {
    const known = this.known ?? { epoch: firstEpoch, revision: 0 };
    if (epoch > known.epoch) return { ...known, changes: [] };
    if (epoch < known.epoch) {
      throw new RevisionCompactedError('the position is of an earlier epoch', 'not-applied', {
        step: 'fleet.mirror',
      });
    }
    const changes = [...this.latest.values()].filter(({ entry }) => entry.modRevision > revision);
    changes.sort((left, right) => left.entry.modRevision - right.entry.modRevision);
    if (revision >= this.compacted) return { ...known, changes };
    return { ...known, changes, keys: [...this.presentKeys] };
  }

  public dispose(): void {
    this.confirmEmitter.dispose();
    this.progressEmitter.dispose();
  }

  private get presentKeys(): readonly string[] {
    return [...this.latest.values()].flatMap(({ type, entry }) =>
      type === 'put' ? [entry.key] : [],
    );
  }

  /** Deletions of the known keys that are not among `keys`. */
  private missing(keys: readonly string[], revision: number): readonly StoreChange[] {
    const present = new Set(keys);
    return this.presentKeys
      .filter((key) => !present.has(key) && this.latest.get(key)!.entry.modRevision <= revision)
      .map((key) => ({
        type: 'delete',
        entry: { key, value: new Uint8Array(), modRevision: revision },
      }));
  }

  private addChange(change: StoreChange): void {
    const { key, modRevision } = change.entry;
    const before = this.latest.get(key);
    if (before !== undefined && before.entry.modRevision >= modRevision) return;
    if (before?.type === 'delete') this.deletions -= 1;
    this.latest.delete(key);
    this.latest.set(key, change);
    if (change.type === 'delete') this.deletions += 1;
    if (this.deletions > maxDeletions) this.dropOldestDeletion();
  }

  private dropOldestDeletion(): void {
    const oldest = [...this.latest.values()].find(({ type }) => type === 'delete');
    if (oldest === undefined) return;
    this.latest.delete(oldest.entry.key);
    this.deletions -= 1;
    this.compacted = Math.max(this.compacted, oldest.entry.modRevision);
  }

  private confirm(age: number): void {
    this.lastConfirmedAt = Math.max(this.lastConfirmedAt, this.clock.elapsed() - age);
  }
}
