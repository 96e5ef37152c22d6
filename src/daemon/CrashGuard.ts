import {
  DisposableStore,
  NotRunError,
  type Clock,
  type Disposable,
  type Fingerprint,
  type LogSink,
  type RandomSource,
  type RequestContext,
  type Store,
  type TargetId,
} from '../api/index.js';
import { Quarantine } from '../common/operations/index.js';
import type { LocalHome, OutcomeEvent } from './LocalHome.js';
import { probeTarget } from './probeTarget.js';
import type { ForwardRequest } from './Types.js';

/** Milliseconds between two reads of the store's records, which also renew a watch that has ended. */
const reloadInterval = 30_000;
/** Milliseconds for which a lost request still counts as in flight: the others of a crash are lost soon after. */
const lossMemory = 2_000;

/** What the guard depends on. */
export interface CrashGuardSettings {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly home: LocalHome;
  /** `host:port` of a target of this home. */
  readonly addressOf: (target: TargetId) => string | undefined;
}

/** Watches for targets that crash with requests in flight, and refuses requests that did it twice. */
export class CrashGuard implements Disposable {
  private readonly disposables = new DisposableStore();

  private readonly quarantine: Quarantine;

  private readonly running = new Map<TargetId, Set<ForwardRequest>>();

  private timer: Disposable | undefined;

  public constructor(private readonly settings: CrashGuardSettings) {
    this.quarantine = this.disposables.add(new Quarantine(settings));
    this.disposables.add(settings.home.onStart((request) => this.noteStart(request)));
    this.disposables.add(settings.home.onOutcome((event) => this.noteOutcome(event)));
  }

  /** Reads the store's records now and from time to time. */
  public start(): void {
    // Decisions go on with the local records while the store is away.
    this.quarantine.load().catch(() => {});
    const delay = reloadInterval * (0.5 + this.settings.random());
    this.timer = this.settings.clock.after(delay, () => this.start());
  }

  /** Throws `NotRunError` for a request that was in flight at two crashes. */
  public check({ fingerprint }: RequestContext): void {
    if (fingerprint === undefined || this.quarantine.check(fingerprint) !== 'quarantined') return;
    const message = 'the request was in flight when two targets crashed';
    throw new NotRunError('quarantined', message, { step: 'quarantine.check' });
  }

  /** Throws `NotRunError` if the request may not run beside those at its target: suspects run apart. */
  public checkAt(request: ForwardRequest): void {
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

  private noteStart(request: ForwardRequest): void {
    const known = this.running.get(request.target);
    if (known === undefined) this.running.set(request.target, new Set([request]));
    else known.add(request);
  }

  private noteOutcome({ target, incarnation, request, outcome }: OutcomeEvent): void {
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

  private async reportIfCrashed(
    target: TargetId,
    incarnation: OutcomeEvent['incarnation'],
  ): Promise<void> {
    const fingerprints = this.fingerprintsAt(target);
    const address = this.settings.addressOf(target);
    if (address === undefined || (await probeTarget(address)).kind !== 'unreachable') return;
    this.settings.log.write({
      level: 'warn',
      kind: 'ejection',
      message: 'a target crashed with requests in flight',
      fields: { step: 'quarantine.report', target, requests: fingerprints.length },
    });
    await this.quarantine.reportCrash({ target, incarnation, fingerprints });
  }
}
