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

/** Validity of an issued key. */
const issuedKeyLifetimeMs = 60 * 60 * 1000;
/** Time for which the outcome of a key chosen by a caller is kept. */
const ownKeyRetentionMs = 24 * 60 * 60 * 1000;
/** Limits for keys chosen by callers, over all ranges: an index of up to 32 bytes per key, 80 MB, plus the answers. */
const ownKeyLimits = { operations: 2_500_000, recentAnswers: 1_000, answerBytes: 32_000_000 };
/** Limits for issued keys: kept for an hour, about 200 bytes each without the answer. */
const issuedKeyLimits = { operations: 200_000, recentAnswers: 1_000, answerBytes: 32_000_000 };
const pruneIntervalMs = 60_000;
/** Interval at which a stop checks for running operations. */
const stopPollIntervalMs = 50;
const connectTimeoutMs = 1_000;
const outcomeTimeoutMs = 3_000;
const secretLengthBytes = 32;

/** Dependencies of operations. */
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

/** Keyed operations: the authority for the keys of this daemon, and a client of the authorities of other keys. */
export class Operations implements Disposable {
  private readonly disposables = new DisposableStore();

  private readonly keyIssuer: KeyIssuer;

  private readonly ownership: RangeOwnership;

  private readonly authority: OperationAuthority<OperationPayload>;

  private readonly client: AuthorityClient<OperationPayload>;

  private isStopping = false;

  public constructor(private readonly settings: OperationsSettings) {
    const { clock, identity, forwarder } = settings;
    const secret = randomBytes(secretLengthBytes);
    this.keyIssuer = new KeyIssuer(clock, {
      daemon: identity.id,
      incarnation: identity.incarnation,
      lifetime: issuedKeyLifetimeMs,
      sign: (text) => createHmac('sha256', secret).update(text).digest('base64url'),
    });
    this.ownership = this.disposables.add(this.createOwnership());
    this.authority = new OperationAuthority({
      clock,
      hash: hashString64,
      keyIssuer: this.keyIssuer,
      issuedLedger: new OperationLedger(hashString64, issuedKeyLimits),
      recordsOf: (range) => (this.isStopping ? undefined : this.ownership.recordsOf(range)),
      dispatch: createDispatch(forwarder, clock),
    });
    this.client = new AuthorityClient({
      clock,
      view: () => this.view(),
      executeLocally: (request) => this.authority.execute(request),
      executeAt: (member, request) => this.executeAt(member, request),
    });
  }

  /** Starts to acquire key ranges. */
  public start(): void {
    const { membership } = this.settings;
    this.disposables.add(
      this.ownership.onChange((ranges) => membership.table.updateSelf({ ranges })),
    );
    this.ownership.start();
    this.schedulePrune();
  }

  /** Planned stop: releases the key ranges, so that a successor need not wait for the lease to expire. */
  public async stop(timeout: number): Promise<void> {
    const { clock } = this.settings;
    const deadline = clock.elapsed() + timeout;
    this.isStopping = true;
    // Running operations must write their answers to the journal before its ranges are released.
    while (this.activeCount > 0 && clock.elapsed() < deadline) {
      await new Promise<void>((resolve) => {
        clock.after(stopPollIntervalMs, resolve);
      });
    }
    await this.ownership.stop(deadline);
  }

  /** Number of operations that this authority is running. */
  public get activeCount(): number {
    return this.authority.activeCount;
  }

  /** Issues a key that is only valid at this incarnation of the daemon. */
  public issueKey(): OperationKey {
    return this.keyIssuer.issue();
  }

  /** Runs an operation at most once, here or at the daemon that is the authority of its key. */
  public run(request: OperationRequest<OperationPayload>): Promise<OperationResult> {
    return this.client.execute(request);
  }

  /** Outcome of the operation with this key, without starting it; rejects if the call to its authority fails. */
  public async outcome(key: OperationKey): Promise<OperationResult> {
    const location = locateAuthority(key, this.view());
    if (location.type === 'self') return this.authority.queryOutcome(key);
    if (location.type === 'member') return this.queryOutcomeAt(location.member, key);
    const message =
      location.type === 'ended'
        ? 'the process that issued the key has ended; the key can never start again'
        : 'the authority of the key cannot be reached';
    return { outcome: 'unknown', message };
  }

  /** Handlers of operation calls of peers. */
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
      limits: ownKeyLimits,
      retention: ownKeyRetentionMs,
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

  private async executeAt(
    member: AuthorityMember,
    request: OperationRequest<OperationPayload>,
  ): Promise<OperationResult> {
    const { clock, connections, membership } = this.settings;
    const address = membership.addressOf(member.id) ?? '';
    const client = await connections.getReady(address, connectTimeoutMs);
    const timeout = request.deadline - clock.elapsed();
    const origin = { step: 'operation.operate', peer: address };
    const result = await callUnary<ResultOutput>(origin, timeout, (options, done) => {
      client.operate(encodeOperation(request, timeout), options, done);
    });
    return decodeResult(result);
  }

  private async queryOutcomeAt(
    member: AuthorityMember,
    key: OperationKey,
  ): Promise<OperationResult> {
    const { connections, membership } = this.settings;
    const address = membership.addressOf(member.id) ?? '';
    const client = connections.get(address);
    const origin = { step: 'operation.outcome', peer: address };
    const result = await callUnary<ResultOutput>(origin, outcomeTimeoutMs, (options, done) => {
      client.outcome({ key }, options, done);
    });
    return decodeResult(result);
  }

  private schedulePrune(): void {
    const timer = this.settings.clock.after(pruneIntervalMs, () => {
      this.authority.pruneExpired();
      this.schedulePrune();
    });
    this.disposables.add(timer);
  }
}
