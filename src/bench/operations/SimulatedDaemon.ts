import {
  brandAs,
  type Clock,
  type DaemonId,
  type Incarnation,
  type OperationKey,
  type RandomSource,
  type Store,
} from '../../api/index.js';
import {
  AuthorityClient,
  KeyIssuer,
  OperationAuthority,
  OperationLedger,
  RangeOwnership,
  type AuthorityMember,
  type Dispatch,
  type OperationRequest,
  type OperationResult,
} from '../../common/operations/index.js';
import type { OperationRecords } from '../../common/operations/OperationRunner.js';
import type { FakeStore } from './FakeStore.js';
import { FakeStoreClient, noFaults } from './FakeStoreClient.js';
import { PausableClock } from '../PausableClock.js';
import type { SimulatedPayload } from './SimulatedTargets.js';
import { textHash } from './textHash.js';
import type { StoreFaults } from './Types.js';

const limits = { operations: 100_000, recentAnswers: 20, answerBytes: 100_000_000 };
const retentionMs = 24 * 3600 * 1000;
/** Time without an update after which a member counts as dead. */
const deadTimeoutMs = 3500;

/** Replaces parts of a daemon, to verify that the checks detect a missing guard. */
export interface Variant {
  readonly store?: (store: Store) => Store;
  readonly records?: (records: OperationRecords) => OperationRecords;
  readonly dispatch?: (dispatch: Dispatch<SimulatedPayload>) => Dispatch<SimulatedPayload>;
  readonly answer?: (result: OperationResult) => OperationResult;
  readonly request?: (
    request: OperationRequest<SimulatedPayload>,
  ) => OperationRequest<SimulatedPayload>;
}

/** Parameters of a simulated daemon; `run` numbers the incarnations of all daemons. */
export interface DaemonContext {
  readonly name: string;
  readonly run: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: FakeStore;
  readonly dispatch: Dispatch<SimulatedPayload>;
  readonly executeAt: (
    sender: SimulatedDaemon,
    member: AuthorityMember,
    request: OperationRequest<SimulatedPayload>,
  ) => Promise<OperationResult>;
  readonly variant: Variant;
}

/** One incarnation of a daemon, with its own clock, connection to the store and view of the other members. */
export class SimulatedDaemon {
  public readonly clock: PausableClock;

  public readonly faults: StoreFaults = noFaults();

  public readonly id: DaemonId;

  public readonly ownership: RangeOwnership;

  public isKilled = false;

  public isStopping = false;

  private readonly incarnation: Incarnation;

  private readonly keyIssuer: KeyIssuer;

  private readonly authority: OperationAuthority<SimulatedPayload>;

  private readonly client: AuthorityClient<SimulatedPayload>;

  private readonly knownMembers = new Map<
    DaemonId,
    { member: AuthorityMember; lastHeardAt: number }
  >();

  public constructor(private readonly context: DaemonContext) {
    this.clock = new PausableClock(context.clock);
    this.id = brandAs<DaemonId>(context.name);
    this.incarnation = brandAs<Incarnation>(`${context.run}-${context.name}`);
    this.ownership = this.createOwnership();
    this.keyIssuer = this.createIssuer();
    this.authority = this.createAuthority();
    this.client = this.createClient();
    this.ownership.start();
  }

  /** Issues a key of this incarnation. */
  public issue(): OperationKey {
    return this.keyIssuer.issue();
  }

  /** Handles a request from a caller. */
  public async handleCallerRequest(
    request: OperationRequest<SimulatedPayload>,
  ): Promise<OperationResult> {
    const result = await this.client.execute(request);
    return this.context.variant.answer?.(result) ?? result;
  }

  /** Handles a request from another daemon. */
  public handlePeerRequest(request: OperationRequest<SimulatedPayload>): Promise<OperationResult> {
    const { variant } = this.context;
    return this.authority.execute(variant.request?.(request) ?? request);
  }

  /** Member record that this daemon sends to others. */
  public createOwnRecord(): AuthorityMember {
    const { ranges } = this.ownership;
    return { id: this.id, incarnation: this.incarnation, isLive: !this.isStopping, ranges };
  }

  /** Records an update from another daemon. */
  public updateMember(member: AuthorityMember): void {
    this.knownMembers.set(member.id, { member, lastHeardAt: this.clock.elapsed() });
  }

  /** Kills the process without notice to other members. */
  public kill(): void {
    this.isKilled = true;
    this.clock.stop();
  }

  private otherMembers(): AuthorityMember[] {
    const now = this.clock.elapsed();
    return [...this.knownMembers.values()].map(({ member, lastHeardAt }) => ({
      ...member,
      isLive: member.isLive && now - lastHeardAt < deadTimeoutMs,
    }));
  }

  private createOwnership(): RangeOwnership {
    const { store, random, variant } = this.context;
    const client = new FakeStoreClient(store, this.clock, this.faults, random);
    return new RangeOwnership({
      store: variant.store?.(client) ?? client,
      clock: this.clock,
      random,
      hash: textHash,
      log: { write: () => {} },
      daemon: this.id,
      incarnation: this.incarnation,
      others: () => this.otherMembers(),
      limits,
      retention: retentionMs,
    });
  }

  private createIssuer(): KeyIssuer {
    return new KeyIssuer(this.clock, {
      daemon: this.id,
      incarnation: this.incarnation,
      lifetime: 3600 * 1000,
      sign: (text) => textHash(`${this.incarnation}${text}`).toString(36),
    });
  }

  private createAuthority(): OperationAuthority<SimulatedPayload> {
    const { variant, dispatch } = this.context;
    // The result is delivered on the clock of the process, so a paused process receives it later.
    const onOwnClock: Dispatch<SimulatedPayload> = async (payload, timeout) => {
      const result = await dispatch(payload, timeout);
      return new Promise((resolve) => {
        this.clock.after(0, () => resolve(result));
      });
    };
    return new OperationAuthority({
      clock: this.clock,
      hash: textHash,
      keyIssuer: this.keyIssuer,
      issuedLedger: new OperationLedger(textHash, limits),
      recordsOf: (range) => {
        const records = this.ownership.recordsOf(range);
        return records === undefined ? undefined : (variant.records?.(records) ?? records);
      },
      dispatch: variant.dispatch?.(onOwnClock) ?? onOwnClock,
    });
  }

  private createClient(): AuthorityClient<SimulatedPayload> {
    return new AuthorityClient({
      clock: this.clock,
      view: () => ({ self: this.createOwnRecord(), others: this.otherMembers(), hash: textHash }),
      executeLocally: (request) => this.handlePeerRequest(request),
      executeAt: (member, request) => this.context.executeAt(this, member, request),
    });
  }
}
