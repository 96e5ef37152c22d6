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

/** Result of one attempt to eject. */
export type EjectionResult =
  | { readonly type: 'ejected'; readonly snapshot: RecordSnapshot }
  | {
      readonly type: 'refused';
      readonly refusal: EjectionRefusalReason;
      readonly capacity?: number;
      readonly floor?: number;
      /** The write may still take effect, so the owner must remove the entry. */
      readonly isOutcomeUnknown: boolean;
    };

/** What an attempt to eject works with. */
export interface EjectorContext {
  readonly home: DaemonId;
  readonly clock: Clock;
  readonly environment: EjectionEnvironment;
  readonly record: (service: ServiceName) => EjectionRecord;
  readonly localSummaries: (service: ServiceName) => readonly TargetSummary[];
  /** Returns a text that no other write of any daemon has. */
  readonly nextToken: () => string;
}

function refuse(
  refusal: EjectionRefusalReason,
  details: { capacity?: number; floor?: number; isOutcomeUnknown?: boolean } = {},
): EjectionResult {
  return { type: 'refused', refusal, isOutcomeUnknown: false, ...details };
}

/** Carries out the four steps of the floor rule for one target: read, ask, decide, compare-and-swap. */
export class Ejector {
  public constructor(private readonly context: EjectorContext) {}

  /** Tries once; conflicts are refusals, so the next try counts everything anew. Never rejects. */
  public async eject(target: HomeTarget): Promise<EjectionResult> {
    const { environment } = this.context;
    const { id, address, service } = target.announcement;
    if (environment.isPaused(service)) return refuse('paused');
    const opinion = await environment
      .diagnoseFault(id, address)
      .catch((): FaultDiagnosis => 'unclear');
    if (opinion === 'path-faulty') return refuse('path-fault');
    if (opinion === 'unclear') return refuse('not-confirmed');
    try {
      return await this.decide(target);
    } catch (error) {
      const isOutcomeUnknown = error instanceof StoreError && error.outcome === 'unknown';
      return refuse('store-away', { isOutcomeUnknown });
    }
  }

  /** Summaries of all targets of the service, this home's own included. */
  public async collectSummaries(service: ServiceName): Promise<readonly TimestampedSummary[]> {
    const { clock, environment, localSummaries } = this.context;
    const askedAt = clock.elapsed();
    const remote = await environment.allSummaries(service).catch(() => []);
    const local = localSummaries(service);
    // Own targets are known first-hand; a late answer of a former home does not replace them.
    const own = new Set(local.map((summary) => summary.target));
    const others = remote.filter((summary) => !own.has(summary.target));
    return [
      ...others.map((summary) => ({ ...summary, askedAt })),
      ...local.map((summary) => ({ ...summary, askedAt: clock.elapsed() })),
    ];
  }

  private async decide(target: HomeTarget): Promise<EjectionResult> {
    const { clock, environment, record } = this.context;
    const { id, service } = target.announcement;
    // The order matters: a summary given after the read shows every ejection that the read has missed, or the
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
    const write = await record(service).add(snapshot, this.entryOf(target));
    return Ejector.conclude(write, snapshot);
  }

  private static conclude(write: RecordWriteResult, snapshot: RecordSnapshot): EjectionResult {
    return write === 'applied' ? { type: 'ejected', snapshot } : refuse('conflict');
  }

  private entryOf(target: HomeTarget): EjectionEntry {
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
