import { isLeft } from 'fp-ts/lib/Either.js';
import {
  brandAs,
  type OutcomeKind,
  type RequestContext,
  type RequestId,
  type TargetId,
  type TargetLoad,
} from '../../api/index.js';
import type { Permit } from '../../common/admission/Types.js';
import type { RetryLimiter } from '../../common/retry/Types.js';
import { CrossRegionBudget } from '../../common/selection/CrossRegionBudget.js';
import { LoadTable } from '../../common/selection/LoadTable.js';
import { Selector } from '../../common/selection/Selector.js';
import {
  dataCentres,
  hopLatencyMs,
  region,
  service,
  type AdmissionFleet,
  type SimulatedTarget,
} from './AdmissionFleet.js';
import type { SimulatedEntry, SimulatedRequest, SimulatedResult } from './Types.js';

/** Maximum number of further targets that a request may try. */
const maxRetries = 2;

/** Result of an attempt as the entry sees it; `retryAfter` is in milliseconds. */
interface AttemptResult {
  readonly kind: OutcomeKind | 'refused';
  readonly load: TargetLoad | undefined;
  readonly retryAfter: number;
}

/** Entry that uses the selector, the admission controllers of the homes and the retry budget. */
export class FleetEntry implements SimulatedEntry {
  private readonly loads: LoadTable;

  private readonly selector: Selector;

  private readonly targetsById: ReadonlyMap<TargetId, SimulatedTarget>;

  public constructor(
    private readonly fleet: AdmissionFleet,
    index: number,
    private readonly retries: RetryLimiter,
  ) {
    this.loads = new LoadTable(fleet.clock);
    const crossRegion = new CrossRegionBudget(() => 0, fleet.clock);
    const dataCentre = dataCentres[index % dataCentres.length] ?? dataCentres[0];
    const location = { region, dataCentre: dataCentre as (typeof dataCentres)[number] };
    this.selector = new Selector(location, fleet.random, { pathPenalty: () => 0, crossRegion });
    this.targetsById = new Map(fleet.targets.map((target) => [target.entry.id, target]));
  }

  public send(request: SimulatedRequest, done: (result: SimulatedResult) => void): void {
    this.retries.recordRequest(service);
    this.attempt(request, new Set(), done);
  }

  private attempt(
    request: SimulatedRequest,
    avoid: ReadonlySet<TargetId>,
    done: (result: SimulatedResult) => void,
  ): void {
    const context = this.createContext(request);
    const entries = this.fleet.targets.map(({ entry }) => entry);
    const choice = this.selector.choose({ context, avoid }, entries, this.loads);
    const chosen = isLeft(choice) ? undefined : this.targetsById.get(choice.right.target.id);
    if (chosen === undefined) {
      done(this.finish(request, 'refused', 0));
      return;
    }
    const { id } = chosen.entry;
    this.loads.sent(id, request.kind.route);
    this.fleet.attempts += 1;
    this.run(chosen, context, request, (result) => {
      this.loads.ended(id, result.load, request.kind.route);
      if (result.kind === 'success') this.loads.succeeded(id);
      else if (result.kind !== 'refused' && result.kind !== 'timeout') this.loads.failed(id);
      this.handleResult(request, new Set([...avoid, id]), result, done);
    });
  }

  private handleResult(
    request: SimulatedRequest,
    triedTargets: ReadonlySet<TargetId>,
    { kind, retryAfter }: AttemptResult,
    done: (result: SimulatedResult) => void,
  ): void {
    const mayRetry = kind === 'refused' || (request.kind.isIdempotent && kind !== 'timeout');
    const isDone = kind === 'success' || !mayRetry || triedTargets.size > maxRetries;
    if (!isDone && this.retries.takeRetry(service)) this.attempt(request, triedTargets, done);
    else if (kind === 'success') done(this.finish(request, 'answered', 0));
    else if (kind === 'refused') done(this.finish(request, 'refused', retryAfter));
    else done(this.finish(request, kind === 'timeout' ? 'timeout' : 'failed', 0));
  }

  private finish(
    request: SimulatedRequest,
    type: SimulatedResult['type'],
    retryAfter: number,
  ): SimulatedResult {
    return { type, latency: this.fleet.clock.elapsed() - request.arrivedAt, retryAfter };
  }

  private createContext(request: SimulatedRequest): RequestContext {
    const { route, workClass, isIdempotent, timeout } = request.kind;
    const remaining = request.arrivedAt + timeout - this.fleet.clock.elapsed() - 2 * hopLatencyMs;
    const id = brandAs<RequestId>(request.id);
    return { id, service, route, workClass, isIdempotent, timeout: remaining };
  }

  private run(
    chosen: SimulatedTarget,
    context: RequestContext,
    request: SimulatedRequest,
    done: (result: AttemptResult) => void,
  ): void {
    const { clock } = this.fleet;
    clock.after(hopLatencyMs, () => {
      const deadline = clock.elapsed() + context.timeout;
      chosen.controller.enqueue({ context }, (result) => {
        if (isLeft(result)) {
          const { facts, retryAfter } = result.left;
          clock.after(hopLatencyMs, () => done({ kind: 'refused', load: facts.load, retryAfter }));
        } else this.start(chosen, result.right, request, deadline, done);
      });
    });
  }

  private start(
    { target, controller }: SimulatedTarget,
    permit: Permit,
    request: SimulatedRequest,
    deadline: number,
    done: (result: AttemptResult) => void,
  ): void {
    const { clock } = this.fleet;
    let isFinished = false;
    const finish = (kind: OutcomeKind): void => {
      if (isFinished) return;
      isFinished = true;
      permit.release({ kind });
      const load = controller.loadFor(permit);
      clock.after(hopLatencyMs, () => done({ kind, load, retryAfter: 0 }));
    };
    this.fleet.starts += 1;
    const job = target.submit(request.serviceTime, ({ kind }) => finish(kind));
    clock.after(deadline - clock.elapsed(), () => {
      if (!isFinished) job.dispose();
      finish('timeout');
    });
  }
}
