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

const names = ['a', 'b', 'c', 'd'];
const gossipInterval = 500;
/** Milliseconds for which a caller waits for an answer. */
const callerTimeout = 2000;
const sendingsOfKey = 4;
const longestHop = 4;
/** Milliseconds after which a request that finds no way counts as lost. */
const peerTimeout = 3000;

/** Settings of a run. */
export interface FleetOptions {
  readonly random: RandomSource;
  readonly callers: number;
  readonly variant?: Variant;
}

/** Several daemons with callers that resend through others, on a virtual clock. */
export class SimulatedFleet {
  public readonly clock = new VirtualClock();

  public readonly history = new HistoryChecker();

  public readonly store = new FakeStore(this.clock);

  public readonly targets: SimulatedTargets;

  /** Ways between daemons that are cut, as `from>to`. */
  public readonly cuts = new Set<string>();

  private readonly daemons = new Map<string, SimulatedDaemon>();

  private runs = 0;

  private attempts = 0;

  private keys = 0;

  private isOpen = true;

  public constructor(private readonly options: FleetOptions) {
    this.targets = new SimulatedTargets(this.clock, options.random, this.history);
    names.forEach((name) => this.startDaemon(name));
    this.gossip();
    for (let caller = 0; caller < options.callers; caller += 1) void this.call();
  }

  /** Daemon by number. */
  public daemon(number: number): SimulatedDaemon {
    const daemon = this.daemons.get(names[number % names.length] ?? '');
    if (daemon === undefined) throw new Error(`no daemon ${number}`);
    return daemon;
  }

  /** Kills a daemon and starts a new run of it after `delay` milliseconds. */
  public restart(daemon: SimulatedDaemon, delay: number): void {
    daemon.kill();
    this.clock.after(delay, () => this.startDaemon(daemon.id));
  }

  /** Stops a daemon as planned, then starts a new run of it. */
  public async replace(daemon: SimulatedDaemon): Promise<void> {
    daemon.isLeaving = true;
    await daemon.ownership.stop(this.clock.elapsed() + 1000);
    if (!daemon.isEnded) this.restart(daemon, 2000);
  }

  /** Lets the callers finish their present keys and start no new ones. */
  public close(): void {
    this.isOpen = false;
  }

  private startDaemon(name: string): void {
    this.runs += 1;
    const { random, variant = {} } = this.options;
    const daemon = new SimulatedDaemon({
      name,
      run: 1000 + this.runs,
      clock: this.clock,
      random,
      store: this.store,
      dispatch: (payload, timeout) => this.targets.run(payload, timeout),
      operateAt: (sender, member, request) => this.forward(sender, member, request),
      variant,
    });
    this.daemons.set(name, daemon);
  }

  private gossip(): void {
    this.daemons.forEach((sender) => {
      sender.clock.after(0, () => {
        const member = sender.describe();
        this.daemons.forEach((receiver) => {
          if (receiver === sender || this.cuts.has(`${sender.id}>${receiver.id}`)) return;
          this.clock.after(this.hop(), () => receiver.clock.after(0, () => receiver.hear(member)));
        });
      });
    });
    this.clock.after(gossipInterval, () => this.gossip());
  }

  /** Carries a request from one daemon to another and the answer back. */
  private forward(
    sender: SimulatedDaemon,
    member: AuthorityMember,
    request: OperationRequest<SimulatedPayload>,
  ): Promise<OperationResult> {
    const receiver = this.daemons.get(member.id);
    const isRefused = receiver === undefined || receiver.isEnded;
    if (isRefused) return Promise.reject(connectionRefused(member.id));
    return new Promise((resolve, reject) => {
      sender.clock.after(peerTimeout, () =>
        reject(new OutcomeUnknownError('no answer', { step: 'simulation', peer: member.id })),
      );
      if (this.cuts.has(`${sender.id}>${receiver.id}`)) return;
      const timeout = request.deadline - this.clock.elapsed();
      this.clock.after(this.hop(), () =>
        receiver.clock.after(0, () => {
          // The receiver counts the time left from the moment at which it reads the request.
          const deadline = this.clock.elapsed() + timeout;
          void receiver.operate({ ...request, deadline }).then((result) => {
            if (receiver.isEnded || this.cuts.has(`${receiver.id}>${sender.id}`)) return;
            this.clock.after(this.hop(), () => sender.clock.after(0, () => resolve(result)));
          });
        }),
      );
    });
  }

  /** One caller: runs one operation after another until the fleet is closed. */
  private async call(): Promise<void> {
    while (this.isOpen) {
      await this.sleep(this.options.random() * 500);
      await this.runKey();
    }
  }

  private async runKey(): Promise<void> {
    const { random } = this.options;
    this.keys += 1;
    const key = await this.chooseKey();
    let isFirst = random() < 0.5;
    for (let sending = 0; sending < sendingsOfKey; sending += 1) {
      // Few callers reuse a key for another request by mistake.
      const isMistake = sending > 0 && random() < 0.05;
      const content = `${key}${isMistake ? '-other' : ''}`;
      const outcome = await this.send(key, content, isFirst);
      isFirst = false;
      const isEnded = outcome === 'done' || outcome === 'mismatch';
      if (isEnded && !isMistake && random() < 0.9) return;
      await this.sleep(random() * 1000);
    }
  }

  private async chooseKey(): Promise<OperationKey> {
    const { random } = this.options;
    // Two callers never share a key, or their statement that it is new would be false.
    const own = brandAs<OperationKey>(`key-${this.keys}`);
    const issuer = this.pick();
    if (random() < 0.6 || issuer.isEnded) return own;
    const issued = new Promise<OperationKey>((resolve) => {
      issuer.clock.after(0, () => resolve(issuer.issue()));
      this.clock.after(callerTimeout, () => resolve(own));
    });
    return issued;
  }

  /** Sends a request through any daemon. The caller gives up after its timeout and hears no later answer. */
  private send(key: OperationKey, content: string, isFirst: boolean): Promise<string> {
    this.attempts += 1;
    const attempt = this.attempts;
    const entry = this.pick();
    this.history.add({ type: 'sent', at: this.clock.elapsed(), attempt, key, content });
    return new Promise((resolve) => {
      const giveUp = this.clock.after(callerTimeout + 500, () => resolve('none'));
      if (entry.isEnded) return;
      this.clock.after(this.hop(), () =>
        entry.clock.after(0, () => {
          const request = this.build(attempt, key, content, isFirst);
          void entry.enter(request).then((result) => {
            if (entry.isEnded) return;
            this.clock.after(this.hop(), () => {
              giveUp.dispose();
              this.noteAnswer(attempt, key, result, resolve);
            });
          });
        }),
      );
    });
  }

  private build(
    attempt: number,
    key: OperationKey,
    content: string,
    isFirst: boolean,
  ): OperationRequest<SimulatedPayload> {
    return {
      key,
      fingerprint: brandAs<Fingerprint>(content),
      deadline: this.clock.elapsed() + callerTimeout,
      isFirstAttempt: isFirst,
      payload: { attempt, key, content },
    };
  }

  private noteAnswer(
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

  private pick(): SimulatedDaemon {
    return this.daemon(Math.floor(this.options.random() * names.length));
  }

  private hop(): number {
    return this.options.random() * longestHop;
  }

  private sleep(delay: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(delay, resolve);
    });
  }
}
