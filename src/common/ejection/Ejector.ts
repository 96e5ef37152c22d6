import { isLeft } from 'fp-ts/lib/Either.js';
import { StoreError } from '../base/index.js';
import type { Clock, DaemonId, ServiceName } from '../base/index.js';
import { comparePeers, isServiceWide } from '../health/index.js';
import type { TargetSummary } from '../health/index.js';
import type { EjectionRecord, RecordWriteResult } from './EjectionRecord.js';
import { FloorRule } from './FloorRule.js';
import type { HomeTarget } from './HomeTarget.js';
import type {
  TimestampedSummary,
  EjectionEntry,
  EjectionEnvironment,
  EjectionRefusalReason,
  FaultDiagnosis,
  RecordSnapshot,
} from './Types.js';

/** Result of one attempt to eject a target. */
export type EjectionResult =
  | { readonly type: 'ejected'; readonly snapshot: RecordSnapshot }
  | {
      readonly type: 'refused';
      readonly refusal: EjectionRefusalReason;
      readonly capacity?: number;
      readonly floor?: number;
      /** The write may still take effect, so the caller must remove the entry. */
      readonly isOutcomeUnknown: boolean;
    };

/** Dependencies of an ejector. */
export interface EjectorContext {
  readonly home: DaemonId;
  readonly clock: Clock;
  readonly environment: EjectionEnvironment;
  readonly record: (service: ServiceName) => EjectionRecord;
  readonly localSummaries: (service: ServiceName) => readonly TargetSummary[];
  /** Returns a token that is unique among the writes of all daemons. */
  readonly nextToken: () => string;
}

function refuse(
  refusal: EjectionRefusalReason,
  details: { capacity?: number; floor?: number; isOutcomeUnknown?: boolean } = {},
): EjectionResult {
  return { type: 'refused', refusal, isOutcomeUnknown: false, ...details };
}

/** Ejects a target under the floor rule in four steps: read the record, collect summaries, decide, compare-and-swap. */
export class Ejector {
  public constructor(private readonly context: EjectorContext) {}

  /** Makes one attempt. Conflicts are refusals, so that the next attempt counts the capacity again. Never rejects. */
  public async eject(target: HomeTarget): Promise<EjectionResult> {
    const { environment } = this.context;
    const { id, address, service } = target.announcement;
    if (environment.isPaused(service)) return refuse('paused');
    const diagnosis = await environment
      .diagnoseFault(id, address)
      .catch((): FaultDiagnosis => 'unclear');
    if (diagnosis === 'path-faulty') return refuse('path-fault');
    if (diagnosis === 'unclear') return refuse('not-confirmed');
    try {
      return await this.decide(target);
    } catch (error) {
      const isOutcomeUnknown = error instanceof StoreError && error.outcome === 'unknown';
      return refuse('store-away', { isOutcomeUnknown });
    }
  }

  /** Summaries of all targets of the service, including those of this home. */
  public async collectSummaries(service: ServiceName): Promise<readonly TimestampedSummary[]> {
    const { clock, environment, localSummaries } = this.context;
    const askedAt = clock.elapsed();
    const remote = await environment.allSummaries(service).catch(() => []);
    const local = localSummaries(service);
    // The state of own targets is authoritative; a late response of a former home does not replace it.
    const localIds = new Set(local.map((summary) => summary.target));
    const others = remote.filter((summary) => !localIds.has(summary.target));
    return [
      ...others.map((summary) => ({ ...summary, askedAt })),
      ...local.map((summary) => ({ ...summary, askedAt: clock.elapsed() })),
    ];
  }

  private async decide(target: HomeTarget): Promise<EjectionResult> {
    const { clock, environment, record } = this.context;
    const { id, service } = target.announcement;
    // The order matters: a summary requested after the read shows every ejection that the read missed, or the
    // compare-and-swap fails.
    const snapshot = await record(service).read();
    const summaries = await this.collectSummaries(service);
    target.tracker.setPeers(comparePeers(id, summaries));
    if (!target.tracker.isOutlier(clock.elapsed())) return refuse('like-peers');
    if (isServiceWide(id, summaries)) return refuse('service-wide');
    const floor = environment.floor(service);
    const view = { now: clock.elapsed(), floor, record: snapshot, summaries };
    const decision = FloorRule.mayEject(view, id);
    if (isLeft(decision)) return refuse('floor', { capacity: decision.left.capacity, floor });
    if (!target.lifecycle.isEjectable) return refuse('state-changed');
    if (environment.isPaused(service)) return refuse('paused');
    const write = await record(service).add(snapshot, this.createEntry(target));
    return Ejector.toResult(write, snapshot);
  }

  private static toResult(write: RecordWriteResult, snapshot: RecordSnapshot): EjectionResult {
    return write === 'applied' ? { type: 'ejected', snapshot } : refuse('conflict');
  }

  private createEntry(target: HomeTarget): EjectionEntry {
    const { id, incarnation } = target.announcement;
    const { severity, reason } = target.verdict;
    const { home, clock, nextToken } = this.context;
    return {
      target: id,
      incarnation,
      home,
      reason: reason.cause,
      severity: Math.round(severity * 10) / 10,
      ejected: clock.now().toISOString(),
      token: nextToken(),
    };
  }
}
