import {
  brandAs,
  type Clock,
  type Disposable,
  type Fingerprint,
  type Incarnation,
  type LogSink,
  type TargetId,
} from '../base/index.js';
import type { Store, StoreEntry } from '../services/Types.js';

/** Default prefix of the store keys of the records. */
const defaultPrefix = 'quarantine/';

/** When a fingerprint is refused, and for how long. */
export interface QuarantineLimits {
  /** Crashes of targets after which a fingerprint is refused. */
  readonly crashes: number;
  /** Milliseconds after its last crash at which a fingerprint is no longer suspect or quarantined. */
  readonly lifetime: number;
}

/** Refuses after two crashes, so that a fingerprint does not reach a third target. */
const defaultLimits: QuarantineLimits = { crashes: 2, lifetime: 60 * 60 * 1000 };
/** Maximum number of fingerprints in memory; beyond it the oldest suspect is dropped. */
const maxEntries = 10_000;

/** Crashes in one record, far more than are needed to refuse its request. */
const maxCrashes = 1_000;
/** Milliseconds by which the clock of another daemon may be ahead. */
const maxClockSkew = 60_000;

/** Crash of a target with requests in flight. */
export interface TargetCrash {
  readonly target: TargetId;
  readonly incarnation: Incarnation;
  readonly fingerprints: readonly Fingerprint[];
}

/** Crashes at which a fingerprint was in flight. */
export interface QuarantineEntry {
  readonly fingerprint: Fingerprint;
  /** Target and incarnation of each crash. */
  readonly crashes: readonly string[];
  /** Wall-clock time of the last crash in milliseconds. */
  readonly crashedAt: number;
}

/** Decodes the content of a record whose last crash was before `latest`; undefined if it is invalid. */
function readRecord(
  text: string,
  latest: number,
): Pick<QuarantineEntry, 'crashes' | 'crashedAt'> | undefined {
  try {
    const { crashes, crashedAt } = (JSON.parse(text) ?? {}) as Readonly<Record<string, unknown>>;
    if (!Array.isArray(crashes) || crashes.length > maxCrashes) return undefined;
    if (!crashes.every((crash): crash is string => typeof crash === 'string')) return undefined;
    if (typeof crashedAt !== 'number' || !(crashedAt >= 0 && crashedAt <= latest)) return undefined;
    return { crashes, crashedAt };
  } catch {
    // The caller logs an invalid record.
    return undefined;
  }
}

/** Quarantine status of a fingerprint. */
export type QuarantineStatus = 'clear' | 'suspect' | 'quarantined';

/** Dependencies of the quarantine. */
export interface QuarantineContext {
  readonly store: Pick<Store, 'get' | 'range' | 'transact' | 'watch'>;
  readonly clock: Clock;
  readonly log: LogSink;
  /** Prefix of the keys of the records. */
  readonly prefix?: string;
  readonly limits?: QuarantineLimits;
}

/**
 * Refuses requests that crashed two targets. A fingerprint that completes is cleared, and two suspects never run on
 * one target (`mayRunWith`), so that a request that was merely in flight at a crash is not quarantined.
 */
export class Quarantine implements Disposable {
  private readonly entries = new Map<Fingerprint, QuarantineEntry>();

  /** Fingerprints of which this process has reported a crash. */
  private readonly reported = new Set<Fingerprint>();

  private watch: Disposable | undefined;

  private isDisposed = false;

  private readonly prefix: string;

  private readonly limits: QuarantineLimits;

  public constructor(private readonly context: QuarantineContext) {
    this.prefix = context.prefix ?? defaultPrefix;
    this.limits = context.limits ?? defaultLimits;
  }

  /** Reads the records and watches them for changes. Throws `StoreError`; local decisions work without the store. */
  public async load(): Promise<void> {
    const { store } = this.context;
    this.watch?.dispose();
    const watch = store.watch(this.prefix);
    this.watch = watch;
    watch.onChange(({ type, entry }) => {
      if (type === 'put') this.mergeRecord(entry);
      else this.entries.delete(brandAs<Fingerprint>(entry.key.slice(this.prefix.length)));
    });
    const entries = await store.range({ prefix: this.prefix });
    entries.forEach((entry) => this.mergeRecord(entry));
  }

  public statusOf(fingerprint: Fingerprint): QuarantineStatus {
    const entry = this.find(fingerprint);
    if (entry === undefined) return 'clear';
    return entry.crashes.length >= this.limits.crashes ? 'quarantined' : 'suspect';
  }

  /** Whether a fingerprint may run on a target beside those in flight: two suspects never share a target. */
  public mayRunWith(fingerprint: Fingerprint, inFlight: Iterable<Fingerprint>): boolean {
    if (this.statusOf(fingerprint) !== 'suspect') return this.statusOf(fingerprint) === 'clear';
    return [...inFlight].every(
      (other) => other === fingerprint || this.statusOf(other) !== 'suspect',
    );
  }

  /** Records a crash; the same crash counts once for a fingerprint. */
  public async reportCrash(crash: TargetCrash): Promise<void> {
    const crashId = `${crash.target}/${crash.incarnation}`;
    const changed = crash.fingerprints.map((fingerprint) => this.addCrash(fingerprint, crashId));
    crash.fingerprints.forEach((fingerprint) => this.reported.add(fingerprint));
    await Promise.all(changed.map((entry) => this.save(entry)));
  }

  /** Writes the crashes that this process has reported again, for a store that has lost its last changes. */
  public async rewrite(): Promise<void> {
    const entries = [...this.reported].flatMap((fingerprint) => this.find(fingerprint) ?? []);
    this.reported.clear();
    entries.forEach(({ fingerprint }) => this.reported.add(fingerprint));
    await Promise.all(entries.map((entry) => this.save(entry)));
  }

  /** Clears a suspect whose request completed. A quarantined fingerprint stays. */
  public async recordCompletion(fingerprint: Fingerprint): Promise<void> {
    if (this.statusOf(fingerprint) === 'suspect') await this.clear(fingerprint);
  }

  /** Quarantined fingerprints, for operators. */
  public list(): readonly QuarantineEntry[] {
    return [...this.entries.values()].filter(
      ({ fingerprint }) => this.statusOf(fingerprint) === 'quarantined',
    );
  }

  /** Clears a fingerprint. Returns false if the record could not be deleted from the store. */
  public async clear(fingerprint: Fingerprint): Promise<boolean> {
    this.entries.delete(fingerprint);
    this.reported.delete(fingerprint);
    try {
      await this.context.store.transact([], [{ type: 'delete', key: this.keyOf(fingerprint) }]);
      return true;
    } catch (error) {
      this.warn('cannot write a quarantine record', fingerprint, error);
      return false;
    }
  }

  public dispose(): void {
    this.isDisposed = true;
    this.watch?.dispose();
  }

  private keyOf(fingerprint: Fingerprint): string {
    return `${this.prefix}${fingerprint}`;
  }

  /** Merges a record of the store; one that another writer left there and that is invalid is logged and ignored. */
  private mergeRecord(entry: StoreEntry): void {
    const now = this.context.clock.now().getTime();
    const fingerprint = brandAs<Fingerprint>(entry.key.slice(this.prefix.length));
    const content = readRecord(new TextDecoder().decode(entry.value), now + maxClockSkew);
    if (content !== undefined) this.merge({ fingerprint, ...content });
    else this.warn('ignored an invalid quarantine record', fingerprint);
  }

  private find(fingerprint: Fingerprint): QuarantineEntry | undefined {
    const entry = this.entries.get(fingerprint);
    if (entry === undefined) return undefined;
    if (this.context.clock.now().getTime() - entry.crashedAt < this.limits.lifetime) return entry;
    this.entries.delete(fingerprint);
    return undefined;
  }

  private addCrash(fingerprint: Fingerprint, crash: string): QuarantineEntry {
    const crashedAt = this.context.clock.now().getTime();
    return this.merge({ fingerprint, crashes: [crash], crashedAt });
  }

  private merge(entry: QuarantineEntry): QuarantineEntry {
    const known = this.find(entry.fingerprint);
    const crashes = [...new Set([...(known?.crashes ?? []), ...entry.crashes])].sort();
    const crashedAt = Math.max(known?.crashedAt ?? 0, entry.crashedAt);
    const merged = { fingerprint: entry.fingerprint, crashes, crashedAt };
    this.entries.set(entry.fingerprint, merged);
    if (known === undefined && this.entries.size > maxEntries) this.dropOldestSuspect();
    return merged;
  }

  private dropOldestSuspect(): void {
    const oldest = [...this.entries.keys()].find(
      (fingerprint) => this.statusOf(fingerprint) === 'suspect',
    );
    if (oldest !== undefined) this.entries.delete(oldest);
  }

  /** Merges a local entry into the record in the store. The local entry applies even if the store is unavailable. */
  private async save(entry: QuarantineEntry): Promise<void> {
    try {
      while (!this.isDisposed && !(await this.trySave(entry.fingerprint)));
    } catch (error) {
      this.warn('cannot write a quarantine record', entry.fingerprint, error);
    }
  }

  private async trySave(fingerprint: Fingerprint): Promise<boolean> {
    const { store } = this.context;
    const key = this.keyOf(fingerprint);
    const present = await store.get(key);
    if (present !== undefined) this.mergeRecord(present);
    const entry = this.find(fingerprint);
    // The fingerprint was cleared meanwhile.
    if (entry === undefined) return true;
    const hasAll =
      present !== undefined && this.isContained(entry, present, this.context.clock.now().getTime());
    if (hasAll) return true;
    const content = { crashes: entry.crashes, crashedAt: entry.crashedAt };
    const value = new TextEncoder().encode(JSON.stringify(content));
    const compare = { key, modRevision: present?.modRevision ?? 0 };
    return (await store.transact([compare], [{ type: 'put', key, value }])).applied;
  }

  /** Whether a record of the store has all crashes of an entry. */
  private isContained(
    { crashes, crashedAt }: QuarantineEntry,
    record: StoreEntry,
    now: number,
  ): boolean {
    const content = readRecord(new TextDecoder().decode(record.value), now + maxClockSkew);
    if (content === undefined || content.crashedAt < crashedAt) return false;
    return crashes.every((crash) => content.crashes.includes(crash));
  }

  private warn(message: string, fingerprint: Fingerprint, error?: unknown): void {
    this.context.log.write({
      level: 'warn',
      kind: 'operation',
      message,
      fields: {
        fingerprint,
        error: error === undefined ? undefined : String(error),
        step: 'quarantine',
      },
    });
  }
}
