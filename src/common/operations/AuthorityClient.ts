import { NotRunError, type Clock, type DaemonId, type OperationKey } from '../base/index.js';
import { locateAuthority, type AuthorityView } from './AuthorityRouting.js';
import { withDeadline, timedOut, sleep } from './timeouts.js';
import type { AuthorityMember, OperationRequest, OperationResult } from './Types.js';

/** Milliseconds between two tries to find the authority. */
const retryPause = 200;

/** What a client is built from. */
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

/** Entry side of a keyed operation: finds its authority and asks until there is an answer or no time left. */
export class AuthorityClient<Payload> {
  public constructor(private readonly context: AuthorityClientContext<Payload>) {}

  /** Result of an operation; never `moved`. It is `not-run` only if that is certain. */
  public async execute(request: OperationRequest<Payload>): Promise<OperationResult> {
    const excluded = new Set<DaemonId>();
    let { isFirstAttempt: isFirst } = request;
    while (this.context.clock.elapsed() < request.deadline) {
      const location = locateAuthority(request.key, this.context.view(), excluded);
      if (location.type === 'ended') return AuthorityClient.ended(isFirst);
      const peer = location.type === 'member' ? location.member : undefined;
      const isHere = location.type === 'self';
      const result =
        isHere || peer !== undefined
          ? await this.ask(peer, { ...request, isFirstAttempt: isFirst })
          : { outcome: 'moved' as const };
      if (result === 'lost') isFirst = false;
      else if (result.outcome !== 'moved') return result;
      this.exclude(excluded, peer, isHere, request.key);
      await sleep(this.context.clock, retryPause);
    }
    return AuthorityClient.unreachable(isFirst);
  }

  private async ask(
    peer: AuthorityMember | undefined,
    request: OperationRequest<Payload>,
  ): Promise<OperationResult | 'lost'> {
    const { clock, executeAt: operateAt, executeLocally: operateHere } = this.context;
    const answer =
      peer === undefined ? operateHere(request) : operateAt(peer, request).catch(this.explain);
    const result = await withDeadline(clock, request.deadline, answer);
    return result === timedOut ? 'lost' : result;
  }

  private readonly explain = (error: unknown): OperationResult | 'lost' =>
    // A request that may have been delivered can be sent again: its key keeps it from starting twice.
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
    // When everybody was asked, the next round begins.
    if (locateAuthority(key, view, excluded).type === 'away') excluded.clear();
  }

  private static ended(isFirst: boolean): OperationResult {
    const message = 'the process that issued the key has ended';
    if (!isFirst) return { outcome: 'unknown', message };
    return { outcome: 'not-run', reason: 'authority-away', message };
  }

  private static unreachable(isFirst: boolean): OperationResult {
    const message = 'the authority of the key cannot be reached';
    // An earlier request with this key may have been run there.
    if (!isFirst) return { outcome: 'unknown', message };
    return { outcome: 'not-run', reason: 'authority-away', message };
  }
}
