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
  readonly admissionController: AdmissionController;
}

/** Outcome of a request at a target. */
export interface OutcomeEvent {
  readonly target: TargetId;
  readonly incarnation: Incarnation;
  readonly request: ForwardRequest;
  readonly outcome: TargetOutcome;
}

const firstServerError = 500;
const overloadStatuses: ReadonlySet<number> = new Set([429, 503]);

function outcomeOfStatus(status: number): OutcomeKind {
  if (overloadStatuses.has(status)) return 'shed';
  return status >= firstServerError ? 'server-error' : 'success';
}

/** Home of the targets that announce themselves here: admits requests and sends them to the targets. */
export class LocalHome implements Home, Disposable {
  private readonly targets = new Map<TargetId, HostedTarget>();

  private readonly closedTargets = new Set<TargetId>();

  private readonly outcomeEmitter = new Emitter<OutcomeEvent>();

  private readonly startEmitter = new Emitter<ForwardRequest>();

  /** Fires when a request at a target has ended. */
  public readonly onOutcome = this.outcomeEmitter.event;

  /** Fires just before a request is sent to a target. */
  public readonly onStart = this.startEmitter.event;

  /** Cost models are per service, since its targets serve the same routes. */
  private readonly costModels = new Map<ServiceName, CostModel>();

  public constructor(
    private readonly clock: Clock,
    private readonly maxQueueOf: (service: ServiceName) => number,
    /** Throws `NotRunError` if a request that was granted a slot must not be sent. */
    private readonly checkStart: (request: ForwardRequest) => void,
  ) {}

  /** Adds or updates a target; a changed incarnation, address or slot count gets new connections and a new queue. */
  public announce(announcement: TargetAnnouncement): void {
    const known = this.targets.get(announcement.id);
    // A target that cancels its drain needs a new admission controller, since a drained one stays closed.
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
    if (announcement.state === 'draining')
      this.targets.get(announcement.id)?.admissionController.drain();
  }

  /** Applies changed limits to the admission controllers of all targets. */
  public refreshLimits(): void {
    this.targets.forEach(({ announcement: { slots, service }, admissionController }) => {
      admissionController.configure({ slots, maxQueue: this.maxQueueOf(service) });
    });
  }

  /** Closes an ejected, held or draining target to entries that have an outdated state of it, or reopens it. */
  public setClosed(id: TargetId, isClosed: boolean): void {
    if (isClosed) this.closedTargets.add(id);
    else this.closedTargets.delete(id);
  }

  /** Removes a target; its queued requests are refused as not run. */
  public remove(id: TargetId): void {
    this.targets.get(id)?.dispose();
    this.targets.delete(id);
    this.closedTargets.delete(id);
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
      this.recordOutcome(request, target, permit, failure.kind, sent);
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
      throw new NotRunError('not-home', 'the target is not here', {
        step: 'home.find',
        peer,
      });
    }
    if (this.closedTargets.has(request.target)) {
      const peer = request.target;
      throw new NotRunError('draining', 'the target takes no work', {
        step: 'home.find',
        peer,
      });
    }
    return target;
  }

  private async admit(
    target: HostedTarget,
    request: ForwardRequest,
    signal: AbortSignal,
  ): Promise<Permit> {
    const result = await target.admissionController.submit({ context: request.context }, signal);
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
    const admissionController = new AdmissionController(
      { slots, maxQueue: this.maxQueueOf(service) },
      this.costModelOf(service),
      this.clock,
    );
    return {
      announcement,
      client,
      admissionController,
      dispose: () => {
        admissionController.dispose();
        client.dispose();
      },
    };
  }

  private costModelOf(service: ServiceName): CostModel {
    const known = this.costModels.get(service);
    if (known !== undefined) return known;
    const costModel = new CostModel();
    this.costModels.set(service, costModel);
    return costModel;
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
      const completeKind = outcomeOfStatus(answer.status);
      const isCancelled = signal.aborted || error?.code === 'ERR_STREAM_PREMATURE_CLOSE';
      const interruptedKind: OutcomeKind = isCancelled ? 'cancelled' : 'truncated';
      // An error status counts even if the entry discards the body to retry at another target.
      const kind = error && completeKind === 'success' ? interruptedKind : completeKind;
      this.recordOutcome(request, target, permit, kind, sent, latency);
    });
    const load = target.admissionController.loadFor(permit);
    return { status: answer.status, headers: answer.headers, load, body };
  }

  private recordOutcome(
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
