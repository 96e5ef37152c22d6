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

/** Milliseconds between two reads of the store's records, which also renew a watch that has ended. */
const reloadInterval = 30_000;
/** Milliseconds for which a lost request still counts as in flight: the others of a crash are lost soon after. */
const lossMemory = 2_000;

/** What the guard needs to know of a request. */
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

/** Home whose requests are watched. */
export interface GuardedHome {
  readonly onStart: Event<GuardedRequest>;
  readonly onOutcome: Event<GuardedOutcome>;
}

/** What the guard depends on. */
export interface CrashGuardSettings extends QuarantineContext {
  readonly random: RandomSource;
  readonly home: GuardedHome;
  /** Whether a target of this home that has broken a connection is down; resolves and never rejects. */
  readonly isDown: (target: TargetId) => Promise<boolean>;
}

/** Watches for targets that crash with requests in flight, and refuses requests that did it twice. */
export class CrashGuard implements Disposable {
  private readonly disposables = new DisposableStore();

  private readonly quarantine: Quarantine;

  private readonly running = new Map<TargetId, Set<GuardedRequest>>();

  private timer: Disposable | undefined;

  public constructor(private readonly settings: CrashGuardSettings) {
    this.quarantine = this.disposables.add(new Quarantine(settings));
    this.disposables.add(settings.home.onStart((request) => this.noteStart(request)));
    this.disposables.add(settings.home.onOutcome((event) => this.noteOutcome(event)));
  }

  /** Reads the store's records now and from time to time. */
  public start(): void {
    // Decisions go on with the local records while the store is away.
    this.quarantine.load().catch((error: unknown) => {
      this.settings.log.write({
        level: 'info',
        kind: 'operation',
        message: 'the quarantine records cannot be read; those known here hold',
        fields: { step: 'quarantine.load', error: String(error) },
      });
    });
    const delay = reloadInterval * (0.5 + this.settings.random());
    this.timer = this.settings.clock.after(delay, () => this.start());
  }

  /** Throws `NotRunError` for a request that was in flight at two crashes. */
  public check({ fingerprint }: GuardedRequest['context']): void {
    if (fingerprint === undefined || this.quarantine.statusOf(fingerprint) !== 'quarantined')
      return;
    const message = 'the request was in flight when two targets crashed';
    throw new NotRunError('quarantined', message, { step: 'quarantine.check' });
  }

  /** Throws `NotRunError` if the request may not run beside those at its target: suspects run apart. */
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

  private noteStart(request: GuardedRequest): void {
    const known = this.running.get(request.target);
    if (known === undefined) this.running.set(request.target, new Set([request]));
    else known.add(request);
  }

  private noteOutcome({ target, incarnation, request, outcome }: GuardedOutcome): void {
    const { fingerprint } = request.context;
    const forget = (): void => {
      this.running.get(target)?.delete(request);
    };
    if (outcome.kind !== 'reset') {
      forget();
      const isAnswered = outcome.kind === 'success' || outcome.kind === 'server-error';
      if (fingerprint !== undefined && isAnswered)
        void this.quarantine.recordCompletion(fingerprint);
      return;
    }
    this.settings.clock.after(lossMemory, forget);
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
