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
import { dataCentres, hop, region, service, type Fleet, type SimulatedTarget } from './Fleet.js';
import type { SimulatedEntry, SimulatedRequest, SimulatedResult } from './Types.js';

/** Further targets that one request may try. */
const maxRetries = 2;

/** How an attempt ended at the entry. */
interface AttemptResult {
  readonly kind: OutcomeKind | 'refused';
  readonly load: TargetLoad | undefined;
  readonly retryAfter: number;
}

/** Entry that uses the selector, the gates at the homes and the retry budget. */
export class FleetEntry implements SimulatedEntry {
  private readonly loads: LoadTable;

  private readonly selector: Selector;

  private readonly byId: ReadonlyMap<TargetId, SimulatedTarget>;

  public constructor(
    private readonly fleet: Fleet,
    index: number,
    private readonly retries: RetryLimiter,
  ) {
    this.loads = new LoadTable(fleet.clock);
    const crossRegion = new CrossRegionBudget(() => 0, fleet.clock);
    const dataCentre = dataCentres[index % dataCentres.length] ?? dataCentres[0];
    const location = { region, dataCentre: dataCentre as (typeof dataCentres)[number] };
    this.selector = new Selector(location, fleet.random, { pathPenalty: () => 0, crossRegion });
    this.byId = new Map(fleet.targets.map((target) => [target.entry.id, target]));
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
    const context = this.describe(request);
    const entries = this.fleet.targets.map(({ entry }) => entry);
    const choice = this.selector.choose({ context, avoid }, entries, this.loads);
    const chosen = isLeft(choice) ? undefined : this.byId.get(choice.right.target.id);
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
      this.conclude(request, new Set([...avoid, id]), result, done);
    });
  }

  private conclude(
    request: SimulatedRequest,
    tried: ReadonlySet<TargetId>,
    { kind, retryAfter }: AttemptResult,
    done: (result: SimulatedResult) => void,
  ): void {
    const mayRepeat = kind === 'refused' || (request.kind.isIdempotent && kind !== 'timeout');
    const isDone = kind === 'success' || !mayRepeat || tried.size > maxRetries;
    if (!isDone && this.retries.takeRetry(service)) this.attempt(request, tried, done);
    else if (kind === 'success') done(this.finish(request, 'answered', 0));
    else if (kind === 'refused') done(this.finish(request, 'refused', retryAfter));
    else done(this.finish(request, kind === 'timeout' ? 'timeout' : 'failed', 0));
  }

  private finish(
    request: SimulatedRequest,
    type: SimulatedResult['type'],
    retryAfter: number,
  ): SimulatedResult {
    return { type, latency: this.fleet.clock.elapsed() - request.arrived, retryAfter };
  }

  private describe(request: SimulatedRequest): RequestContext {
    const { route, workClass, isIdempotent, timeout } = request.kind;
    const left = request.arrived + timeout - this.fleet.clock.elapsed() - 2 * hop;
    const id = brandAs<RequestId>(request.id);
    return { id, service, route, workClass, isIdempotent, timeout: left };
  }

  private run(
    chosen: SimulatedTarget,
    context: RequestContext,
    request: SimulatedRequest,
    done: (result: AttemptResult) => void,
  ): void {
    const { clock } = this.fleet;
    clock.after(hop, () => {
      const due = clock.elapsed() + context.timeout;
      chosen.gate.enqueue({ context }, (result) => {
        if (isLeft(result)) {
          const { facts, retryAfter } = result.left;
          clock.after(hop, () => done({ kind: 'refused', load: facts.load, retryAfter }));
        } else this.start(chosen, result.right, request, due, done);
      });
    });
  }

  private start(
    { target, gate }: SimulatedTarget,
    permit: Permit,
    request: SimulatedRequest,
    due: number,
    done: (result: AttemptResult) => void,
  ): void {
    const { clock } = this.fleet;
    let isOver = false;
    const finish = (kind: OutcomeKind): void => {
      if (isOver) return;
      isOver = true;
      permit.release({ kind });
      const load = gate.loadFor(permit);
      clock.after(hop, () => done({ kind, load, retryAfter: 0 }));
    };
    this.fleet.starts += 1;
    const job = target.submit(request.work, ({ kind }) => finish(kind));
    clock.after(due - clock.elapsed(), () => {
      if (!isOver) job.dispose();
      finish('timeout');
    });
  }
}
