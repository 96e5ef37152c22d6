import {
  DisposableStore,
  NotRunError,
  type Disposable,
  type Event,
  type Fingerprint,
  type Incarnation,
  type RandomSource,
  type RequestContext,
  type TargetId,
  type TargetOutcome,
} from '../api/index.js';
import { Quarantine, type QuarantineContext } from '../common/operations/index.js';

/** Mean interval between reads of the store's records, which also restart a watch that has ended. */
const reloadIntervalMs = 30_000;
/** Time for which a lost request still counts as in flight: a crash loses the other requests shortly after. */
const lostRequestRetentionMs = 2_000;

/** Request as seen by the crash guard. */
export interface GuardedRequest {
  readonly target: TargetId;
  readonly context: Pick<RequestContext, 'fingerprint'>;
}

/** End of a request at a target. */
export interface GuardedOutcome {
  readonly target: TargetId;
  readonly incarnation: Incarnation;
  readonly request: GuardedRequest;
  readonly outcome: Pick<TargetOutcome, 'kind'>;
}

/** Events of a home that the crash guard observes. */
export interface GuardedHome {
  readonly onStart: Event<GuardedRequest>;
  readonly onOutcome: Event<GuardedOutcome>;
}

/** Dependencies of the crash guard. */
export interface CrashGuardSettings extends QuarantineContext {
  readonly random: RandomSource;
  readonly home: GuardedHome;
  /** Whether a target of this home that reset a connection is down; never rejects. */
  readonly isDown: (target: TargetId) => Promise<boolean>;
}

/** Detects targets that crash with requests in flight, and refuses requests that were in flight at two crashes. */
export class CrashGuard implements Disposable {
  private readonly disposables = new DisposableStore();

  private readonly quarantine: Quarantine;

  private readonly running = new Map<TargetId, Set<GuardedRequest>>();

  private timer: Disposable | undefined;

  public constructor(private readonly settings: CrashGuardSettings) {
    this.quarantine = this.disposables.add(new Quarantine(settings));
    this.disposables.add(settings.home.onStart((request) => this.recordStart(request)));
    this.disposables.add(settings.home.onOutcome((event) => this.recordOutcome(event)));
  }

  /** Reads the store's records now and then periodically. */
  public start(): void {
    // The records in memory stay in force while the store is unavailable.
    this.quarantine.load().catch((error: unknown) => {
      this.settings.log.write({
        level: 'info',
        kind: 'operation',
        message: 'cannot read the quarantine records; using those in memory',
        fields: { step: 'quarantine.load', error: String(error) },
      });
    });
    const delay = reloadIntervalMs * (0.5 + this.settings.random());
    this.timer = this.settings.clock.after(delay, () => this.start());
  }

  /** Writes the reports of this daemon again after the store has lost its last changes. */
  public rewrite(): void {
    void this.quarantine.rewrite();
  }

  /** Throws `NotRunError` for a request that was in flight at two crashes. */
  public check({ fingerprint }: GuardedRequest['context']): void {
    if (fingerprint === undefined || this.quarantine.statusOf(fingerprint) !== 'quarantined')
      return;
    const message = 'the request was in flight when two targets crashed';
    throw new NotRunError('quarantined', message, { step: 'quarantine.check' });
  }

  /** Throws `NotRunError` if the request must not run at the same time as those at its target: suspects run alone. */
  public checkStart(request: GuardedRequest): void {
    this.check(request.context);
    const { fingerprint } = request.context;
    const others = this.fingerprintsAt(request.target);
    if (fingerprint === undefined || this.quarantine.mayRunWith(fingerprint, others)) return;
    const message = 'another request that was in flight at a crash runs there';
    throw new NotRunError('draining', message, { step: 'quarantine.check', peer: request.target });
  }

  public dispose(): void {
    this.timer?.dispose();
    this.disposables.dispose();
  }

  private fingerprintsAt(target: TargetId): Fingerprint[] {
    return [...(this.running.get(target) ?? [])].flatMap(
      ({ context }) => context.fingerprint ?? [],
    );
  }

  private recordStart(request: GuardedRequest): void {
    const running = this.running.get(request.target);
    if (running === undefined) this.running.set(request.target, new Set([request]));
    else running.add(request);
  }

  private recordOutcome({ target, incarnation, request, outcome }: GuardedOutcome): void {
    const { fingerprint } = request.context;
    const remove = (): void => {
      this.running.get(target)?.delete(request);
    };
    if (outcome.kind !== 'reset') {
      remove();
      const isAnswered = outcome.kind === 'success' || outcome.kind === 'server-error';
      if (fingerprint !== undefined && isAnswered)
        void this.quarantine.recordCompletion(fingerprint);
      return;
    }
    this.settings.clock.after(lostRequestRetentionMs, remove);
    void this.reportIfCrashed(target, incarnation);
  }

  private async reportIfCrashed(target: TargetId, incarnation: Incarnation): Promise<void> {
    const fingerprints = this.fingerprintsAt(target);
    if (!(await this.settings.isDown(target))) return;
    this.settings.log.write({
      level: 'warn',
      kind: 'ejection',
      message: 'a target crashed with requests in flight',
      fields: { step: 'quarantine.report', target, requests: fingerprints.length },
    });
    await this.quarantine.reportCrash({ target, incarnation, fingerprints });
  }
}
