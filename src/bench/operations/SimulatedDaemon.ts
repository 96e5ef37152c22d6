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
import { textHash } from './TestHash.js';
import type { StoreFaults } from './Types.js';

const limits = { operations: 100_000, recentAnswers: 20, answerBytes: 100_000_000 };
const retention = 24 * 3600 * 1000;
/** Milliseconds without news after which a member counts as dead. */
const deadAfter = 3500;

/** Replaces parts of a daemon, to show that the checks notice a missing guard. */
export interface Variant {
  readonly store?: (store: Store) => Store;
  readonly records?: (records: OperationRecords) => OperationRecords;
  readonly dispatch?: (dispatch: Dispatch<SimulatedPayload>) => Dispatch<SimulatedPayload>;
  readonly answer?: (result: OperationResult) => OperationResult;
  readonly request?: (
    request: OperationRequest<SimulatedPayload>,
  ) => OperationRequest<SimulatedPayload>;
}

/** What a daemon of the simulation is built from. */
export interface DaemonContext {
  readonly name: string;
  readonly run: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: FakeStore;
  readonly dispatch: Dispatch<SimulatedPayload>;
  readonly operateAt: (
    sender: SimulatedDaemon,
    member: AuthorityMember,
    request: OperationRequest<SimulatedPayload>,
  ) => Promise<OperationResult>;
  readonly variant: Variant;
}

/** One run of a daemon: its own clock, its way to the store and what it knows of the others. */
export class SimulatedDaemon {
  public readonly clock: PausableClock;

  public readonly faults: StoreFaults = noFaults();

  public readonly id: DaemonId;

  public readonly ownership: RangeOwnership;

  public isEnded = false;

  public isLeaving = false;

  private readonly incarnation: Incarnation;

  private readonly issuedKeys: KeyIssuer;

  private readonly authority: OperationAuthority<SimulatedPayload>;

  private readonly client: AuthorityClient<SimulatedPayload>;

  private readonly seen = new Map<DaemonId, { member: AuthorityMember; heardAt: number }>();

  public constructor(private readonly context: DaemonContext) {
    this.clock = new PausableClock(context.clock);
    this.id = brandAs<DaemonId>(context.name);
    this.incarnation = brandAs<Incarnation>(`${context.run}-${context.name}`);
    this.ownership = this.createOwnership();
    this.issuedKeys = this.createIssuer();
    this.authority = this.createAuthority();
    this.client = this.createClient();
    this.ownership.start();
  }

  /** Issues a key of this incarnation. */
  public issue(): OperationKey {
    return this.issuedKeys.issue();
  }

  /** Handles a request of a caller. */
  public async enter(request: OperationRequest<SimulatedPayload>): Promise<OperationResult> {
    const result = await this.client.execute(request);
    return this.context.variant.answer?.(result) ?? result;
  }

  /** Handles a request of another daemon. */
  public operate(request: OperationRequest<SimulatedPayload>): Promise<OperationResult> {
    const { variant } = this.context;
    return this.authority.execute(variant.request?.(request) ?? request);
  }

  /** What this daemon tells others of itself. */
  public describe(): AuthorityMember {
    const { ranges } = this.ownership;
    return { id: this.id, incarnation: this.incarnation, isLive: !this.isLeaving, ranges };
  }

  /** Learns about another daemon. */
  public hear(member: AuthorityMember): void {
    this.seen.set(member.id, { member, heardAt: this.clock.elapsed() });
  }

  /** Ends the process without any notice. */
  public kill(): void {
    this.isEnded = true;
    this.clock.stop();
  }

  private others(): AuthorityMember[] {
    const now = this.clock.elapsed();
    return [...this.seen.values()].map(({ member, heardAt }) => ({
      ...member,
      isLive: member.isLive && now - heardAt < deadAfter,
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
      others: () => this.others(),
      limits,
      retention,
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
    // The result reaches the process on its own clock, so a paused process learns it later.
    const onOwnClock: Dispatch<SimulatedPayload> = async (payload, timeout) => {
      const result = await dispatch(payload, timeout);
      return new Promise((resolve) => {
        this.clock.after(0, () => resolve(result));
      });
    };
    return new OperationAuthority({
      clock: this.clock,
      hash: textHash,
      keyIssuer: this.issuedKeys,
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
      view: () => ({ self: this.describe(), others: this.others(), hash: textHash }),
      executeLocally: (request) => this.operate(request),
      executeAt: (member, request) => this.context.operateAt(this, member, request),
    });
  }
}
