import {
  brandAs,
  OutcomeUnknownError,
  VirtualClock,
  type Fingerprint,
  type OperationKey,
  type RandomSource,
} from '../../api/index.js';
import type {
  AuthorityMember,
  OperationRequest,
  OperationResult,
} from '../../common/operations/index.js';
import { FakeStore } from './FakeStore.js';
import { HistoryChecker } from './HistoryChecker.js';
import { SimulatedDaemon, type Variant } from './SimulatedDaemon.js';
import { connectionRefused, SimulatedTargets, type SimulatedPayload } from './SimulatedTargets.js';

const daemonNames = ['a', 'b', 'c', 'd'];
const gossipIntervalMs = 500;
/** Time from sending a request to its deadline; the caller waits 500 ms longer for the answer. */
const callerTimeoutMs = 2000;
const attemptsPerKey = 4;
const maxHopMs = 4;
/** Time after which a daemon treats a request to a peer as lost. */
const peerTimeoutMs = 3000;

/** Settings of a run. */
export interface FleetOptions {
  readonly random: RandomSource;
  readonly callers: number;
  readonly variant?: Variant;
}

/** Several daemons on a virtual clock, with callers that resend requests through other daemons. */
export class SimulatedFleet {
  public readonly clock = new VirtualClock();

  public readonly history = new HistoryChecker();

  public readonly store = new FakeStore(this.clock);

  public readonly targets: SimulatedTargets;

  /** Directed links between daemons that drop all messages, as `from>to`. */
  public readonly blockedLinks = new Set<string>();

  private readonly daemons = new Map<string, SimulatedDaemon>();

  private daemonRuns = 0;

  private attempts = 0;

  private keys = 0;

  private acceptsNewKeys = true;

  public constructor(private readonly options: FleetOptions) {
    this.targets = new SimulatedTargets(this.clock, options.random, this.history);
    daemonNames.forEach((name) => this.startDaemon(name));
    this.gossip();
    for (let caller = 0; caller < options.callers; caller += 1) void this.runCaller();
  }

  /** Current incarnation of a daemon, by number; wraps around. */
  public daemon(number: number): SimulatedDaemon {
    const daemon = this.daemons.get(daemonNames[number % daemonNames.length] ?? '');
    if (daemon === undefined) throw new Error(`no daemon ${number}`);
    return daemon;
  }

  /** Kills a daemon and starts a new incarnation after `delay` milliseconds. */
  public restart(daemon: SimulatedDaemon, delay: number): void {
    daemon.kill();
    this.clock.after(delay, () => this.startDaemon(daemon.id));
  }

  /** Stops a daemon gracefully, then starts a new incarnation. */
  public async replace(daemon: SimulatedDaemon): Promise<void> {
    daemon.isStopping = true;
    await daemon.ownership.stop(this.clock.elapsed() + 1000);
    if (!daemon.isKilled) this.restart(daemon, 2000);
  }

  /** Lets the callers finish their current keys without starting new ones. */
  public close(): void {
    this.acceptsNewKeys = false;
  }

  private startDaemon(name: string): void {
    this.daemonRuns += 1;
    const { random, variant = {} } = this.options;
    const daemon = new SimulatedDaemon({
      name,
      run: 1000 + this.daemonRuns,
      clock: this.clock,
      random,
      store: this.store,
      dispatch: (payload, timeout) => this.targets.run(payload, timeout),
      executeAt: (sender, member, request) => this.forward(sender, member, request),
      variant,
    });
    this.daemons.set(name, daemon);
  }

  private gossip(): void {
    this.daemons.forEach((sender) => {
      sender.clock.after(0, () => {
        const member = sender.createOwnRecord();
        this.daemons.forEach((receiver) => {
          if (receiver === sender || this.blockedLinks.has(`${sender.id}>${receiver.id}`)) return;
          this.clock.after(this.hopLatency(), () =>
            receiver.clock.after(0, () => receiver.updateMember(member)),
          );
        });
      });
    });
    this.clock.after(gossipIntervalMs, () => this.gossip());
  }

  /** Delivers a request to another daemon and returns its answer. */
  private forward(
    sender: SimulatedDaemon,
    member: AuthorityMember,
    request: OperationRequest<SimulatedPayload>,
  ): Promise<OperationResult> {
    const receiver = this.daemons.get(member.id);
    const isRefused = receiver === undefined || receiver.isKilled;
    if (isRefused) return Promise.reject(connectionRefused(member.id));
    return new Promise((resolve, reject) => {
      sender.clock.after(peerTimeoutMs, () =>
        reject(new OutcomeUnknownError('no answer', { step: 'simulation', peer: member.id })),
      );
      if (this.blockedLinks.has(`${sender.id}>${receiver.id}`)) return;
      const timeout = request.deadline - this.clock.elapsed();
      this.clock.after(this.hopLatency(), () =>
        receiver.clock.after(0, () => {
          // The message carries the remaining time, which the receiver counts from the moment it reads the request.
          const deadline = this.clock.elapsed() + timeout;
          void receiver.handlePeerRequest({ ...request, deadline }).then((result) => {
            if (receiver.isKilled || this.blockedLinks.has(`${receiver.id}>${sender.id}`)) return;
            this.clock.after(this.hopLatency(), () => sender.clock.after(0, () => resolve(result)));
          });
        }),
      );
    });
  }

  /** Runs one caller, which performs operations one after another until the fleet is closed. */
  private async runCaller(): Promise<void> {
    while (this.acceptsNewKeys) {
      await this.sleep(this.options.random() * 500);
      await this.runKey();
    }
  }

  private async runKey(): Promise<void> {
    const { random } = this.options;
    this.keys += 1;
    const key = await this.chooseKey();
    let isFirstAttempt = random() < 0.5;
    for (let round = 0; round < attemptsPerKey; round += 1) {
      // Some callers reuse a key for another request by mistake.
      const isMistake = round > 0 && random() < 0.05;
      const content = `${key}${isMistake ? '-other' : ''}`;
      const outcome = await this.send(key, content, isFirstAttempt);
      isFirstAttempt = false;
      const isEnded = outcome === 'done' || outcome === 'mismatch';
      if (isEnded && !isMistake && random() < 0.9) return;
      await this.sleep(random() * 1000);
    }
  }

  private async chooseKey(): Promise<OperationKey> {
    const { random } = this.options;
    // Callers never share a key, or the first-attempt flag of the second one would be false.
    const callerKey = brandAs<OperationKey>(`key-${this.keys}`);
    const issuer = this.pickDaemon();
    if (random() < 0.6 || issuer.isKilled) return callerKey;
    const issued = new Promise<OperationKey>((resolve) => {
      issuer.clock.after(0, () => resolve(issuer.issue()));
      this.clock.after(callerTimeoutMs, () => resolve(callerKey));
    });
    return issued;
  }

  /** Sends a request through a random daemon. The caller gives up after its timeout and ignores later answers. */
  private send(key: OperationKey, content: string, isFirstAttempt: boolean): Promise<string> {
    this.attempts += 1;
    const attempt = this.attempts;
    const entry = this.pickDaemon();
    this.history.add({ type: 'sent', at: this.clock.elapsed(), attempt, key, content });
    return new Promise((resolve) => {
      const giveUpTimer = this.clock.after(callerTimeoutMs + 500, () => resolve('none'));
      if (entry.isKilled) return;
      this.clock.after(this.hopLatency(), () =>
        entry.clock.after(0, () => {
          const request = this.createRequest(attempt, key, content, isFirstAttempt);
          void entry.handleCallerRequest(request).then((result) => {
            if (entry.isKilled) return;
            this.clock.after(this.hopLatency(), () => {
              giveUpTimer.dispose();
              this.recordAnswer(attempt, key, result, resolve);
            });
          });
        }),
      );
    });
  }

  private createRequest(
    attempt: number,
    key: OperationKey,
    content: string,
    isFirstAttempt: boolean,
  ): OperationRequest<SimulatedPayload> {
    return {
      key,
      fingerprint: brandAs<Fingerprint>(content),
      deadline: this.clock.elapsed() + callerTimeoutMs,
      isFirstAttempt,
      payload: { attempt, key, content },
    };
  }

  private recordAnswer(
    attempt: number,
    key: string,
    result: OperationResult,
    resolve: (outcome: string) => void,
  ): void {
    const { outcome } = result;
    const body = result.outcome === 'done' ? result.answer?.body : undefined;
    const content = body === undefined ? undefined : new TextDecoder().decode(body);
    const at = this.clock.elapsed();
    this.history.add({ type: 'answered', at, attempt, key, outcome, content });
    resolve(outcome);
  }

  private pickDaemon(): SimulatedDaemon {
    return this.daemon(Math.floor(this.options.random() * daemonNames.length));
  }

  private hopLatency(): number {
    return this.options.random() * maxHopMs;
  }

  private sleep(delay: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(delay, resolve);
    });
  }
}
