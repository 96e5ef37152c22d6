import type { Clock, DaemonId, Disposable, LogSink, TargetId } from '../base/index.js';
import { hashString } from '../base/Hash.js';
import { sleep } from '../operations/timeouts.js';
import type { StoreEntry } from '../services/Types.js';
import { isTargetId } from './daemonRecords.js';
import type { PolledStore } from './Types.js';

/** Seconds for which a departure is kept; late announcements arrive within seconds. */
const leaseSeconds = 60;
const lifetime = leaseSeconds * 1_000;
/** Milliseconds for which an acknowledgement waits for the store; targets wait one second for it. */
const acknowledgementTimeout = 600;
/** Milliseconds before the first retry of a failed write; the delay doubles up to the maximum. */
const minRetryDelay = 300;
const maxRetryDelay = 5_000;
/** Departures that are remembered or written at a time; further ones bind this process only. */
const maxRecorded = 256;
const keyRadix = 36;

/** A target that leaves: the incarnation that started at `startedAt`, a Unix timestamp in milliseconds, and earlier ones. */
export interface Departure {
  readonly id: TargetId;
  readonly startedAt: number;
}

/** Dependencies of `DepartureRecorder`. */
export interface DepartureRecorderSettings {
  readonly store: Pick<PolledStore, 'grantLease' | 'transact'>;
  /** Prefix of the departures of all daemons. */
  readonly prefix: string;
  readonly daemon: DaemonId;
  readonly clock: Clock;
  readonly log: LogSink;
}

/** A departure that is being written, or that is in the store. */
interface RecordedDeparture extends Departure {
  readonly recordedAt: number;
  readonly isWritten: Promise<boolean>;
}

/** Decodes a departure; undefined if another writer has left something else. */
function decodeDeparture({ value }: StoreEntry): Departure | undefined {
  try {
    const { id, startedAt } = (JSON.parse(new TextDecoder().decode(value)) ??
      {}) as Partial<Departure>;
    return isTargetId(id) && Number.isSafeInteger(startedAt)
      ? { id, startedAt: startedAt as number }
      : undefined;
  } catch {
    // The caller logs an invalid entry.
    return undefined;
  }
}

/**
 * Keeps the targets of this VM that leave in the store, since the acknowledgement that they got must bind the next process
 * of this daemon too.
 */
export class DepartureRecorder implements Disposable {
  private readonly recorded = new Map<TargetId, RecordedDeparture>();

  private isDisposed = false;

  public constructor(private readonly settings: DepartureRecorderSettings) {}

  /** Writes a departure, and again until the store has it; returns at once. */
  public record(departure: Departure): void {
    const { id, startedAt } = departure;
    const now = this.settings.clock.elapsed();
    this.recorded.forEach(({ recordedAt }, other) => {
      if (now - recordedAt >= lifetime) this.recorded.delete(other);
    });
    if (startedAt <= (this.recorded.get(id)?.startedAt ?? -Infinity)) return;
    if (this.recorded.size >= maxRecorded) {
      this.logFailure('too many targets leave to write them all', departure);
      return;
    }
    this.recorded.set(id, { ...departure, recordedAt: now, isWritten: this.write(departure) });
  }

  /** Resolves once the departure of a target, if it leaves, is in the store, or after a time that its sender still waits. */
  public async waitUntilRecorded(id: TargetId): Promise<void> {
    const recorded = this.recorded.get(id);
    if (recorded === undefined) return;
    const timeout = sleep(this.settings.clock, acknowledgementTimeout).then(() => false);
    if (await Promise.race([recorded.isWritten, timeout])) return;
    this.logFailure('acknowledged that a target leaves before the store has it', recorded);
  }

  /** Departures of this daemon among entries of the store. */
  public read(entries: readonly StoreEntry[]): readonly Departure[] {
    return entries
      .filter(({ key }) => key.startsWith(this.ownPrefix))
      .flatMap((entry) => {
        const departure = decodeDeparture(entry);
        if (departure === undefined) {
          this.settings.log.write({
            level: 'warn',
            kind: 'placement',
            message: 'ignored a store entry that is not a valid departure',
            fields: { step: 'departure.decode', key: entry.key },
          });
        }
        return departure ?? [];
      });
  }

  public dispose(): void {
    this.isDisposed = true;
  }

  private get ownPrefix(): string {
    return `${this.settings.prefix}${this.settings.daemon}/`;
  }

  private async write({ id, startedAt }: Departure): Promise<boolean> {
    const { store, clock } = this.settings;
    const key = `${this.ownPrefix}${hashString(`${id}/${startedAt}`).toString(keyRadix)}`;
    const value = new TextEncoder().encode(JSON.stringify({ id, startedAt }));
    const begun = clock.elapsed();
    let failures = 0;
    for (let delay = minRetryDelay; !this.isDisposed; delay = Math.min(2 * delay, maxRetryDelay)) {
      try {
        const lease = await store.grantLease(leaseSeconds);
        await store.transact([], [{ type: 'put', key, value, lease }]);
        return true;
      } catch (error) {
        failures += 1;
        const isLast = clock.elapsed() - begun >= lifetime;
        if (failures === 1 || isLast) {
          const message = `could not write that a target leaves${isLast ? '' : '; retrying'}`;
          this.logFailure(message, { id, startedAt }, error);
        }
        if (isLast) return false;
      }
      await sleep(clock, delay);
    }
    return false;
  }

  private logFailure(message: string, { id, startedAt }: Departure, error?: unknown): void {
    this.settings.log.write({
      level: 'warn',
      kind: 'placement',
      message,
      fields: {
        step: 'departure.write',
        target: id,
        startedAt,
        error: error === undefined ? undefined : String(error),
      },
    });
  }
}
