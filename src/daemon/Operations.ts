import { createHmac, randomBytes } from 'node:crypto';
import {
  brandAs,
  DisposableStore,
  hashString64,
  type Clock,
  type Disposable,
  type LogSink,
  type OperationKey,
  type RandomSource,
  type Store,
} from '../api/index.js';
import type { MemberRecord } from '../common/membership/Types.js';
import {
  AuthorityClient,
  KeyIssuer,
  locateAuthority,
  OperationAuthority,
  OperationLedger,
  RangeOwnership,
  type AuthorityMember,
  type AuthorityView,
  type OperationRequest,
  type OperationResult,
} from '../common/operations/index.js';
import type { Forwarder } from './Forwarder.js';
import type { OperationResult__Output as ResultOutput } from './generated/limpettrack/OperationResult.js';
import type { PeerHandlers } from './generated/limpettrack/Peer.js';
import type { Membership } from './Membership.js';
import { createDispatch } from './OperationDispatch.js';
import {
  decodeOperation,
  decodeResult,
  encodeOperation,
  encodeResult,
  type OperationPayload,
} from './OperationMessages.js';
import type { PeerConnections } from './PeerConnections.js';
import { createUnaryHandler } from './PeerServer.js';
import type { Identity } from './Types.js';
import { callUnary } from './unary.js';

/** Milliseconds for which an issued key can be used. */
const issuedKeyLifetime = 60 * 60 * 1000;
/** Milliseconds for which a caller's own key is remembered. */
const retention = 24 * 60 * 60 * 1000;
/** Own keys of all ranges: at most 32 bytes each in the index, 80 MB, and the answers beside them. */
const limits = { operations: 2_500_000, recentAnswers: 1_000, answerBytes: 32_000_000 };
/** Issued keys live for an hour at about 200 bytes each without their answers. */
const issuedLimits = { operations: 200_000, recentAnswers: 1_000, answerBytes: 32_000_000 };
const forgetInterval = 60_000;
/** Milliseconds between two looks at the operations that still run during a stop. */
const stopCheckInterval = 50;
const connectTimeout = 1_000;
const outcomeTimeout = 3_000;
const secretSize = 32;

/** What operations depend on. */
export interface OperationsSettings {
  readonly identity: Identity;
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly membership: Membership;
  readonly connections: PeerConnections;
  readonly forwarder: Forwarder;
}

function toAuthorityMember(record: MemberRecord): AuthorityMember {
  const { id, incarnation, status, ranges } = record;
  return { id, incarnation, isLive: status === 'alive', ranges };
}

/** Keyed operations at this daemon: authority for its keys, and client of the authorities of other keys. */
export class Operations implements Disposable {
  private readonly disposables = new DisposableStore();

  private readonly issuedKeys: KeyIssuer;

  private readonly ownership: RangeOwnership;

  private readonly authority: OperationAuthority<OperationPayload>;

  private readonly client: AuthorityClient<OperationPayload>;

  private isStopping = false;

  public constructor(private readonly settings: OperationsSettings) {
    const { clock, identity, forwarder } = settings;
    const secret = randomBytes(secretSize);
    this.issuedKeys = new KeyIssuer(clock, {
      daemon: identity.id,
      incarnation: identity.incarnation,
      lifetime: issuedKeyLifetime,
      sign: (text) => createHmac('sha256', secret).update(text).digest('base64url'),
    });
    this.ownership = this.disposables.add(this.createOwnership());
    this.authority = new OperationAuthority({
      clock,
      hash: hashString64,
      keyIssuer: this.issuedKeys,
      issuedLedger: new OperationLedger(hashString64, issuedLimits),
      recordsOf: (range) => (this.isStopping ? undefined : this.ownership.recordsOf(range)),
      dispatch: createDispatch(forwarder, clock),
    });
    this.client = new AuthorityClient({
      clock,
      view: () => this.view(),
      executeLocally: (request) => this.authority.execute(request),
      executeAt: (member, request) => this.operateAt(member, request),
    });
  }

  /** Begins to take over key ranges. */
  public start(): void {
    const { membership } = this.settings;
    this.disposables.add(
      this.ownership.onChange((ranges) => membership.table.updateSelf({ ranges })),
    );
    this.ownership.start();
    this.scheduleForget();
  }

  /** Planned stop: gives the key ranges up, so that a successor need not wait for the lease. */
  public async stop(timeout: number): Promise<void> {
    const { clock } = this.settings;
    const deadline = clock.elapsed() + timeout;
    this.isStopping = true;
    // The answers of operations that still run belong into the journal before it is given up.
    while (this.activeCount > 0 && clock.elapsed() < deadline) {
      await new Promise<void>((resolve) => {
        clock.after(stopCheckInterval, resolve);
      });
    }
    await this.ownership.stop(deadline);
  }

  /** Operations under way at this authority. */
  public get activeCount(): number {
    return this.authority.activeCount;
  }

  /** Issues a key that only this incarnation can run. */
  public issueKey(): OperationKey {
    return this.issuedKeys.issue();
  }

  /** Runs an operation at most once, here or at the daemon that is its authority. */
  public run(request: OperationRequest<OperationPayload>): Promise<OperationResult> {
    return this.client.execute(request);
  }

  /** Outcome of a key without starting anything; rejects if its authority cannot be reached. */
  public async outcome(key: OperationKey): Promise<OperationResult> {
    const location = locateAuthority(key, this.view());
    if (location.type === 'self') return this.authority.queryOutcome(key);
    if (location.type === 'member') return this.outcomeAt(location.member, key);
    const message =
      location.type === 'ended'
        ? 'the process that issued the key has ended; the key can never start again'
        : 'the authority of the key cannot be reached';
    return { outcome: 'unknown', message };
  }

  /** Handlers of the calls of peers. */
  public handlers(): Pick<PeerHandlers, 'Operate' | 'Outcome'> {
    return {
      Operate: createUnaryHandler(async (message) => {
        const request = decodeOperation(message, this.settings.clock.elapsed());
        if (request !== undefined) return encodeResult(await this.authority.execute(request));
        const text = 'operation without head or fingerprint';
        return encodeResult({ outcome: 'not-run', reason: 'bad-request', message: text });
      }),
      Outcome: createUnaryHandler(async ({ key }) =>
        encodeResult(await this.authority.queryOutcome(brandAs<OperationKey>(key))),
      ),
    };
  }

  public dispose(): void {
    this.disposables.dispose();
  }

  private createOwnership(): RangeOwnership {
    const { identity, store, clock, random, log } = this.settings;
    return new RangeOwnership({
      store,
      clock,
      random,
      hash: hashString64,
      log,
      daemon: identity.id,
      incarnation: identity.incarnation,
      others: () => this.view().others,
      limits,
      retention,
    });
  }

  private view(): AuthorityView {
    const { membership, identity } = this.settings;
    const others = membership.table
      .all()
      .filter(({ id }) => id !== identity.id)
      .map(toAuthorityMember);
    return { self: toAuthorityMember(membership.table.self), others, hash: hashString64 };
  }

  private async operateAt(
    member: AuthorityMember,
    request: OperationRequest<OperationPayload>,
  ): Promise<OperationResult> {
    const { clock, connections, membership } = this.settings;
    const address = membership.addressOf(member.id) ?? '';
    const client = await connections.getReady(address, connectTimeout);
    const timeout = request.deadline - clock.elapsed();
    const origin = { step: 'operation.operate', peer: address };
    const result = await callUnary<ResultOutput>(origin, timeout, (options, done) => {
      client.operate(encodeOperation(request, timeout), options, done);
    });
    return decodeResult(result);
  }

  private async outcomeAt(member: AuthorityMember, key: OperationKey): Promise<OperationResult> {
    const { connections, membership } = this.settings;
    const address = membership.addressOf(member.id) ?? '';
    const client = connections.get(address);
    const origin = { step: 'operation.outcome', peer: address };
    const result = await callUnary<ResultOutput>(origin, outcomeTimeout, (options, done) => {
      client.outcome({ key }, options, done);
    });
    return decodeResult(result);
  }

  private scheduleForget(): void {
    const timer = this.settings.clock.after(forgetInterval, () => {
      this.authority.pruneExpired();
      this.scheduleForget();
    });
    this.disposables.add(timer);
  }
}
