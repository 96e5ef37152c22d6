import { PassThrough, pipeline } from 'node:stream';
import { isLeft } from 'fp-ts/lib/Either.js';
import {
  Emitter,
  NotRunError,
  type Clock,
  type Disposable,
  type Incarnation,
  type OutcomeKind,
  type ServiceName,
  type TargetAnnouncement,
  type TargetId,
  type TargetOutcome,
} from '../api/index.js';
import { CostModel } from '../common/admission/CostModel.js';
import { AdmissionController } from '../common/admission/AdmissionController.js';
import type { Permit } from '../common/admission/Types.js';
import { TargetClient, type TargetAnswer } from './TargetClient.js';
import { TargetFailure } from './TargetFailure.js';
import type { ForwardAnswer, ForwardRequest, Home } from './Types.js';

/** Target that has announced itself to this daemon. */
interface HostedTarget extends Disposable {
  readonly announcement: TargetAnnouncement;
  readonly client: TargetClient;
  readonly gate: AdmissionController;
}

/** Outcome of one request with the target and incarnation that it belongs to. */
export interface OutcomeEvent {
  readonly target: TargetId;
  readonly incarnation: Incarnation;
  readonly request: ForwardRequest;
  readonly outcome: TargetOutcome;
}

const firstServerError = 500;
const shedStatuses: ReadonlySet<number> = new Set([429, 503]);

function outcomeOfStatus(status: number): OutcomeKind {
  if (shedStatuses.has(status)) return 'shed';
  return status >= firstServerError ? 'server-error' : 'success';
}

/** Home of the targets that announced themselves here: admits work and sends it to them. */
export class LocalHome implements Home, Disposable {
  private readonly targets = new Map<TargetId, HostedTarget>();

  private readonly closed = new Set<TargetId>();

  private readonly outcomeEmitter = new Emitter<OutcomeEvent>();

  private readonly startEmitter = new Emitter<ForwardRequest>();

  /** Fires when a request at a target has ended. */
  public readonly onOutcome = this.outcomeEmitter.event;

  /** Fires just before a request is sent to a target. */
  public readonly onStart = this.startEmitter.event;

  /** Costs are learned for each service, since targets of a service run the same routes. */
  private readonly costs = new Map<ServiceName, CostModel>();

  public constructor(
    private readonly clock: Clock,
    private readonly maxQueueOf: (service: ServiceName) => number,
    /** Throws `NotRunError` if a request that has a slot must not be sent. */
    private readonly checkStart: (request: ForwardRequest) => void,
  ) {}

  /** Adds a target or updates it; a new incarnation or address gets new connections and a new queue. */
  public announce(announcement: TargetAnnouncement): void {
    const known = this.targets.get(announcement.id);
    // A target that takes back its drain needs a new gate, since a draining one stays closed.
    const isReopened =
      known?.announcement.state === 'draining' && announcement.state !== 'draining';
    const isSame =
      !isReopened &&
      known?.announcement.incarnation === announcement.incarnation &&
      known.announcement.address === announcement.address &&
      known.announcement.slots === announcement.slots;
    if (known !== undefined && isSame) {
      this.targets.set(announcement.id, { ...known, announcement });
    } else {
      this.targets.set(announcement.id, this.createTarget(announcement));
      known?.dispose();
    }
    if (announcement.state === 'draining') this.targets.get(announcement.id)?.gate.drain();
  }

  /** Applies changed limits to the gates. */
  public refreshLimits(): void {
    this.targets.forEach(({ announcement: { slots, service }, gate }) => {
      gate.configure({ slots, maxQueue: this.maxQueueOf(service) });
    });
  }

  /** Closes a target that is ejected, held or draining, for entries that do not know it yet, or opens it again. */
  public setClosed(id: TargetId, isClosed: boolean): void {
    if (isClosed) this.closed.add(id);
    else this.closed.delete(id);
  }

  /** Removes a target that has left; its waiting requests are refused as not run. */
  public remove(id: TargetId): void {
    this.targets.get(id)?.dispose();
    this.targets.delete(id);
    this.closed.delete(id);
  }

  public async forward(request: ForwardRequest, signal: AbortSignal): Promise<ForwardAnswer> {
    const started = this.clock.elapsed();
    const target = this.find(request);
    const permit = await this.admit(target, request, signal);
    try {
      this.checkStart(request);
    } catch (refusal) {
      permit.release({ kind: 'cancelled' });
      throw refusal;
    }
    const timeout = request.context.timeout - (this.clock.elapsed() - started);
    this.startEmitter.fire(request);
    const sent = this.clock.elapsed();
    try {
      const answer = await target.client.send(request, Math.max(1, timeout), signal);
      return this.createAnswer(request, target, permit, answer, sent, signal);
    } catch (failure) {
      if (!(failure instanceof TargetFailure)) throw failure;
      this.finish(request, target, permit, failure.kind, sent);
      throw failure.error;
    }
  }

  public dispose(): void {
    this.targets.forEach((target) => target.dispose());
    this.targets.clear();
    this.outcomeEmitter.dispose();
    this.startEmitter.dispose();
  }

  private find(request: ForwardRequest): HostedTarget {
    const target = this.targets.get(request.target);
    if (target?.announcement.incarnation !== request.targetIncarnation) {
      const peer = request.target;
      throw new NotRunError('not-home', 'the target is not here', { step: 'home.find', peer });
    }
    if (this.closed.has(request.target)) {
      const peer = request.target;
      throw new NotRunError('draining', 'the target takes no work', { step: 'home.find', peer });
    }
    return target;
  }

  private async admit(
    target: HostedTarget,
    request: ForwardRequest,
    signal: AbortSignal,
  ): Promise<Permit> {
    const result = await target.gate.submit({ context: request.context }, signal);
    if (isLeft(result)) {
      const { reason, message } = result.left;
      throw new NotRunError(reason, message, { step: 'home.admit', peer: request.target });
    }
    return result.right;
  }

  private createTarget(announcement: TargetAnnouncement): HostedTarget {
    const connections = Math.min(announcement.slots, announcement.connections);
    const client = new TargetClient(announcement.address, connections);
    const { slots, service } = announcement;
    const gate = new AdmissionController(
      { slots, maxQueue: this.maxQueueOf(service) },
      this.costOf(service),
      this.clock,
    );
    return {
      announcement,
      client,
      gate,
      dispose: () => {
        gate.dispose();
        client.dispose();
      },
    };
  }

  private costOf(service: ServiceName): CostModel {
    const known = this.costs.get(service);
    if (known !== undefined) return known;
    const cost = new CostModel();
    this.costs.set(service, cost);
    return cost;
  }

  private createAnswer(
    request: ForwardRequest,
    target: HostedTarget,
    permit: Permit,
    answer: TargetAnswer,
    sent: number,
    signal: AbortSignal,
  ): ForwardAnswer {
    const latency = this.clock.elapsed() - sent;
    const body = new PassThrough();
    pipeline(answer.body, body, (error) => {
      const whole = outcomeOfStatus(answer.status);
      const isCancelled = signal.aborted || error?.code === 'ERR_STREAM_PREMATURE_CLOSE';
      const cut: OutcomeKind = isCancelled ? 'cancelled' : 'truncated';
      // An error status is evidence even if the entry drops the answer to try elsewhere.
      const kind = error && whole === 'success' ? cut : whole;
      this.finish(request, target, permit, kind, sent, latency);
    });
    const load = target.gate.loadFor(permit);
    return { status: answer.status, headers: answer.headers, load, body };
  }

  private finish(
    request: ForwardRequest,
    target: HostedTarget,
    permit: Permit,
    kind: OutcomeKind,
    sent: number,
    latency = this.clock.elapsed() - sent,
  ): void {
    const outcome: TargetOutcome = { kind, route: request.context.route, latency };
    permit.release(outcome);
    const { id, incarnation } = target.announcement;
    this.outcomeEmitter.fire({ target: id, incarnation, request, outcome });
  }
}
