import { isRight } from 'fp-ts/lib/Either.js';
import { brandAs, type RequestId } from '../../api/index.js';
import type { HedgePolicy } from '../../common/retry/HedgePolicy.js';
import type { RetryLimiter } from '../../common/retry/Types.js';
import { service, type Fleet } from './Fleet.js';
import { drawWork } from './Traffic.js';
import type { SimulatedEntry, SimulatedRequest, SimulatedResult } from './Types.js';

/**
 * Entry that sends a second copy of a slow request. The copy draws its own service time, since a straggler
 * is slow by its run and not by its content. The slower copy runs to its end.
 */
export class HedgedEntry implements SimulatedEntry {
  public constructor(
    private readonly fleet: Fleet,
    private readonly inner: SimulatedEntry,
    private readonly policy: HedgePolicy,
    private readonly budget: RetryLimiter,
  ) {}

  public send(request: SimulatedRequest, done: (result: SimulatedResult) => void): void {
    let isOver = false;
    const finish = (result: SimulatedResult): void => {
      if (isOver) return;
      isOver = true;
      this.policy.record(request.kind.route, result.latency);
      done(result);
    };
    this.inner.send(request, finish);
    const { route, workClass, isIdempotent, timeout } = request.kind;
    const id = brandAs<RequestId>(request.id);
    const delay = this.policy.delayFor({ id, service, route, workClass, isIdempotent, timeout });
    if (!isRight(delay)) return;
    this.fleet.clock.after(delay.right, () => {
      if (isOver || !this.budget.takeRetry(service)) return;
      const work = drawWork(request.kind.work, this.fleet.random);
      this.inner.send({ ...request, work }, (result) => {
        if (result.type === 'answered') finish(result);
      });
    });
  }
}
