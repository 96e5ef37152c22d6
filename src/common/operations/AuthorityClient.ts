import { NotRunError, type Clock, type DaemonId, type OperationKey } from '../base/index.js';
import { locateAuthority, type AuthorityView } from './AuthorityRouting.js';
import { withDeadline, timedOut, sleep } from './timeouts.js';
import type { AuthorityMember, OperationRequest, OperationResult } from './Types.js';

/** Milliseconds between two attempts to find the authority. */
const retryDelay = 200;

/** Dependencies of an authority client. */
export interface AuthorityClientContext<Payload> {
  readonly clock: Clock;
  readonly view: () => AuthorityView;
  /** Runs the operation at this daemon. */
  readonly executeLocally: (request: OperationRequest<Payload>) => Promise<OperationResult>;
  /** Asks another daemon. Throws `NotRunError` only if the request was certainly not delivered. */
  readonly executeAt: (
    member: AuthorityMember,
    request: OperationRequest<Payload>,
  ) => Promise<OperationResult>;
}

/** Entry side of keyed operations: finds the authority and retries until it answers or the deadline passes. */
export class AuthorityClient<Payload> {
  public constructor(private readonly context: AuthorityClientContext<Payload>) {}

  /** Executes an operation. The result is never `moved`, and `not-run` only if that is certain. */
  public async execute(request: OperationRequest<Payload>): Promise<OperationResult> {
    const excluded = new Set<DaemonId>();
    let { isFirstAttempt } = request;
    while (this.context.clock.elapsed() < request.deadline) {
      const location = locateAuthority(request.key, this.context.view(), excluded);
      if (location.type === 'ended') return AuthorityClient.createIssuerEndedResult(isFirstAttempt);
      const peer = location.type === 'member' ? location.member : undefined;
      const isHere = location.type === 'self';
      const result =
        isHere || peer !== undefined
          ? await this.send(peer, { ...request, isFirstAttempt })
          : { outcome: 'moved' as const };
      if (result === 'lost') isFirstAttempt = false;
      else if (result.outcome !== 'moved') return result;
      this.exclude(excluded, peer, isHere, request.key);
      await sleep(this.context.clock, retryDelay);
    }
    return AuthorityClient.createUnreachableResult(isFirstAttempt);
  }

  private async send(
    peer: AuthorityMember | undefined,
    request: OperationRequest<Payload>,
  ): Promise<OperationResult | 'lost'> {
    const { clock, executeAt, executeLocally } = this.context;
    const answer =
      peer === undefined
        ? executeLocally(request)
        : executeAt(peer, request).catch(this.classifyError);
    const result = await withDeadline(clock, request.deadline, answer);
    return result === timedOut ? 'lost' : result;
  }

  private readonly classifyError = (error: unknown): OperationResult | 'lost' =>
    // A request that may have been delivered can be sent again, because its key prevents a second start.
    error instanceof NotRunError ? { outcome: 'moved' } : 'lost';

  private exclude(
    excluded: Set<DaemonId>,
    peer: AuthorityMember | undefined,
    isHere: boolean,
    key: OperationKey,
  ): void {
    const view = this.context.view();
    const id = isHere ? view.self.id : peer?.id;
    if (id !== undefined) excluded.add(id);
    // Once all daemons have been asked, start again with the first.
    if (locateAuthority(key, view, excluded).type === 'away') excluded.clear();
  }

  private static createIssuerEndedResult(isFirstAttempt: boolean): OperationResult {
    const message = 'the process that issued the key has ended';
    if (!isFirstAttempt) return { outcome: 'unknown', message };
    return { outcome: 'not-run', reason: 'authority-away', message };
  }

  private static createUnreachableResult(isFirstAttempt: boolean): OperationResult {
    const message = 'the authority of the key cannot be reached';
    // An earlier request with this key may have been run there.
    if (!isFirstAttempt) return { outcome: 'unknown', message };
    return { outcome: 'not-run', reason: 'authority-away', message };
  }
}
