import { Emitter, type Clock, type Disposable, type LogSink } from '../api/index.js';
import { SlotQueue } from '../common/admission/SlotQueue.js';
import type { ConditionReport, TargetCondition } from '../common/dispatch/Types.js';
import type { TargetReport } from '../common/fleet/Types.js';
import { HealthEstimator } from '../common/health/HealthEstimator.js';
import { TargetUsage } from '../common/health/TargetUsage.js';
import { TrialRequestLimiter } from '../common/health/TrialRequestLimiter.js';
import type { TargetNotice } from './targetNotice.js';
import type { TargetConnection } from './Types.js';

/** Milliseconds without requests for a target that refused a connection. */
const downTime = 700;
/** Age in milliseconds of a reported rate limit above which the target may have lifted it. */
const maxAdoptedAge = 10_000;
/** Change of a rate limit, as a share of it, from which it is logged. */
const loggedLimitChange = 0.1;
/** Characters of an invalid header value in a log line. */
const maxLoggedLength = 40;
const millisecondsPerSecond = 1_000;

/** Creates the connection to a target; `onNotice` must be called with what the target says of itself in each response. */
export type TargetConnector = (
  report: TargetReport,
  onNotice: (notice: TargetNotice) => void,
) => TargetConnection;

function isLoggedChange(before: number | undefined, after: number | undefined): boolean {
  if (before === undefined || after === undefined) return true;
  return Math.abs(after - before) > loggedLimitChange * before;
}

/** One incarnation of a target of this VM: its connection, admission queue, health state and rate limit. */
export class HostedTarget implements Disposable {
  public readonly connection: TargetConnection;

  public readonly queue: SlotQueue;

  public readonly health: HealthEstimator;

  public readonly trialLimiter: TrialRequestLimiter;

  public readonly usage: TargetUsage;

  private readonly leaveEmitter = new Emitter<void>();

  /** Fires when the target says in a response that it leaves. */
  public readonly onLeave = this.leaveEmitter.event;

  private downUntil = 0;

  private limit: number | undefined;

  private loggedLimit: number | undefined;

  private invalidLimit: string | undefined;

  /** Whether the target has responded, so that its rate limit is known. */
  private hasResponded = false;

  public constructor(
    /** Its latest announcement. */
    public report: TargetReport,
    connect: TargetConnector,
    private readonly clock: Clock,
    private readonly log: LogSink,
  ) {
    this.connection = connect(report, (notice) => this.applyNotice(notice));
    this.queue = new SlotQueue(report.slots, clock);
    this.health = new HealthEstimator(clock);
    this.trialLimiter = new TrialRequestLimiter(clock);
    this.usage = new TargetUsage(clock);
  }

  /** Requests per second that the target takes, as it named them last; undefined without a limit. */
  public get rateLimit(): number | undefined {
    return this.limit;
  }

  /** Whether the target refused a connection a moment ago. */
  public get isDown(): boolean {
    return this.downUntil > this.clock.elapsed();
  }

  /** Records that the target refused a connection. */
  public markDown(): void {
    this.downUntil = this.clock.elapsed() + downTime;
  }

  /** Current load and health; `runningDelta` adjusts the number of running requests. */
  public condition(runningDelta = 0): TargetCondition {
    const { running, queued, slots, interval, limitWait } = this.queue.load;
    const limit =
      interval === undefined
        ? {}
        : { limit: { interval: Math.ceil(interval), wait: Math.ceil(limitWait) } };
    return {
      running: Math.max(0, running + runningDelta),
      queued,
      slots,
      work: Math.round(this.queue.meanServiceTime),
      sickness: Number(this.health.logOdds.toFixed(2)),
      idle: Math.round(this.usage.idleTime),
      ...limit,
    };
  }

  /** The condition as fields of a log line. */
  public get loggedCondition(): Readonly<Record<string, number | undefined>> {
    const { limit, ...condition } = this.condition();
    return { ...condition, rateLimit: this.limit, limitWait: limit?.wait };
  }

  /** Takes over the rate limit that another daemon reports, unless the target has responded to this daemon. */
  public adoptLimit({ condition: { limit }, age }: ConditionReport): void {
    if (this.hasResponded || this.limit !== undefined || limit === undefined) return;
    if (limit.interval > 0 && age <= maxAdoptedAge) {
      this.limitRate(millisecondsPerSecond / limit.interval);
    }
  }

  /** Refuses the queued requests, since the target drains. */
  public evictQueue(): void {
    this.queue.evict('draining', () => true);
  }

  public dispose(): void {
    this.leaveEmitter.dispose();
    this.queue.dispose();
    this.connection.dispose();
  }

  private applyNotice({ rateLimit, invalidLimit, isLeaving }: TargetNotice): void {
    this.hasResponded = true;
    if (isLeaving) this.leaveEmitter.fire();
    if (invalidLimit === undefined) this.limitRate(rateLimit);
    else if (invalidLimit !== this.invalidLimit) {
      this.write('warn', 'ignored a rate limit that is not a number', {
        value: invalidLimit.slice(0, maxLoggedLength),
      });
    }
    this.invalidLimit = invalidLimit;
  }

  private limitRate(rateLimit: number | undefined): void {
    if (rateLimit === this.limit) return;
    if (isLoggedChange(this.loggedLimit, rateLimit)) {
      this.write('info', 'target changed its rate limit', { before: this.limit, rateLimit });
      this.loggedLimit = rateLimit;
    }
    this.limit = rateLimit;
    this.queue.limitRate(rateLimit);
  }

  private write(
    level: 'info' | 'warn',
    message: string,
    fields: Readonly<Record<string, string | number | undefined>>,
  ): void {
    this.log.write({
      level,
      kind: 'placement',
      message,
      fields: { step: 'home', target: this.report.id, ...fields },
    });
  }
}
