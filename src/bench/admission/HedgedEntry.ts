import { isRight } from 'fp-ts/lib/Either.js';
import { brandAs, type RequestId } from '../../api/index.js';
import type { HedgePolicy } from '../../common/retry/HedgePolicy.js';
import type { RetryLimiter } from '../../common/retry/Types.js';
import { service, type AdmissionFleet } from './AdmissionFleet.js';
import { sampleServiceTime } from './Traffic.js';
import type { SimulatedEntry, SimulatedRequest, SimulatedResult } from './Types.js';

/**
 * Entry that sends a second copy of a slow request. The copy gets a service time of its own, because a straggler is slow
 * in one execution and not because of its content. The slower copy is not cancelled.
 */
export class HedgedEntry implements SimulatedEntry {
  public constructor(
    private readonly fleet: AdmissionFleet,
    private readonly inner: SimulatedEntry,
    private readonly policy: HedgePolicy,
    private readonly budget: RetryLimiter,
  ) {}

  public send(request: SimulatedRequest, done: (result: SimulatedResult) => void): void {
    let isFinished = false;
    const finish = (result: SimulatedResult): void => {
      if (isFinished) return;
      isFinished = true;
      this.policy.record(request.kind.route, result.latency);
      done(result);
    };
    this.inner.send(request, finish);
    const { route, workClass, isIdempotent, timeout } = request.kind;
    const id = brandAs<RequestId>(request.id);
    const delay = this.policy.delayFor({ id, service, route, workClass, isIdempotent, timeout });
    if (!isRight(delay)) return;
    this.fleet.clock.after(delay.right, () => {
      if (isFinished || !this.budget.takeRetry(service)) return;
      const serviceTime = sampleServiceTime(request.kind.meanServiceTime, this.fleet.random);
      this.inner.send({ ...request, serviceTime }, (result) => {
        if (result.type === 'answered') finish(result);
      });
    });
  }
}
