import { Readable } from 'node:stream';
import {
  brandAs,
  createRandom,
  NotRunError,
  OutcomeUnknownError,
  VirtualClock,
  type DaemonId,
  type DataCentre,
  type Incarnation,
  type RandomSource,
  type Region,
  type RequestId,
  type ServiceName,
  type TargetId,
} from '../api/index.js';
import { hashString } from '../common/base/Hash.js';
import { Dispatcher } from '../common/dispatch/Dispatcher.js';
import { defaultLocality, Placement } from '../common/dispatch/Placement.js';
import { RouteStatistics } from '../common/dispatch/RouteStatistics.js';
import {
  HomeRefusalError,
  type Candidate,
  type AttemptRequest,
  type TargetAnswer,
} from '../common/dispatch/Types.js';
import { FleetDirectory } from '../common/fleet/FleetDirectory.js';
import type { TrafficRoute } from '../common/routing/TrafficTypes.js';
import { TargetFailure } from '../daemon/TargetFailure.js';
import { Home } from '../sidecar/Home.js';
import { createRequestMetadata } from '../sidecar/peer/createRequestMetadata.js';
import type { TargetNotice } from '../sidecar/targetNotice.js';
import type { HomeRequest, StreamedResponse, TargetConnection } from '../sidecar/Types.js';

/** One-way network delays within a region and between regions. */
const sameRegionDelayMs = 0.5;
const crossRegionDelayMs = 20;
/** Retries of a caller after a refusal. */
const maxCallerRetries = 4;
/** Standard deviation of the logarithm of the service time. */
const workLogStdDev = 0.6;
/** Share of requests that run `factor` times longer. */
const stragglers = { share: 0.03, factor: 7 };
/** Retry budget of the deployments with 24 VMs. */
const retryLimits = { ratio: 0.2, slack: 60, window: 10 };
/** Number of values of `hashString`. */
const hashRange = 2 ** 32;
const headerNames = {
  requestId: 'id',
  timeout: 'timeout',
  expectedTarget: 'expected',
  callerService: 'caller',
  signature: 'signature',
  notRun: 'not-run',
  rateLimit: 'rate-limit',
  leaving: 'leaving',
};

/** Class of requests with the same load and limits. */
export interface SimulatedClass {
  readonly name: string;
  readonly service: string;
  /** Requests per second; 0 for a class that only targets call. */
  readonly rate: number;
  /** Mean service time in milliseconds. */
  readonly work: number;
  /** Latency goal in milliseconds. */
  readonly goal: number;
  /** Milliseconds for one attempt, and for all attempts of the caller together. */
  readonly timeout: number;
  readonly deadline: number;
  readonly isIdempotent: boolean;
  /** Priority; 0 is served first. */
  readonly rank: number;
  /** Class of which each run sends one request with a probability of 0.7. */
  readonly calls?: string;
}

/** Load, targets and faults of a simulation. */
export interface SimulatedLoad {
  readonly seed: number;
  /** Number of targets of each service. */
  readonly services: Readonly<Record<string, number>>;
  /** Requests that a target runs at the same time. */
  readonly slots: number;
  readonly classes: readonly SimulatedClass[];
  /**
   * Hanging targets: the share of a service's targets that hang at a time, the share of their requests that is lost,
   * and the milliseconds after which other targets hang instead.
   */
  readonly hangs: { readonly share: number; readonly loss: number; readonly period: number };
  /** Retries allowed in a window besides the share of the requests; 60 if missing. */
  readonly retrySlack?: number;
  /** Rate limits: the share of a service's targets that name one, and the requests per second that they take. */
  readonly limits?: { readonly service: string; readonly share: number; readonly rate: number };
  /** Duration of the load in seconds. */
  readonly duration: number;
  /** Factor on the request rates at a time in milliseconds. */
  readonly rateFactor: (time: number) => number;
}

/** Share of the sound targets of a service that got requests in a window. */
export interface TargetUse {
  /** Begin of the window in milliseconds. */
  readonly from: number;
  readonly service: string;
  readonly sound: number;
  readonly used: number;
}

/** Request counts of one class by result. */
export interface ClassResult {
  sent: number;
  served: number;
  /** Served within the latency goal. */
  withinGoal: number;
  refused: number;
  failed: number;
}

interface SimulatedVm {
  readonly id: DaemonId;
  readonly target: TargetId;
  readonly service: string;
  readonly region: Region;
  readonly directory: FleetDirectory;
  readonly dispatcher: Dispatcher;
  readonly home: Home;
}

/** Fleet with real dispatchers and homes, simulated targets and network, and a virtual clock. */
export class SimulatedFleet {
  public readonly results = new Map<string, ClassResult>();

  /** Non-idempotent requests that started at a target more than once. */
  public readonly duplicateStarts: string[] = [];

  /** Number of starts at targets, by request. */
  private readonly starts = new Map<string, number>();

  /** Times at which requests started at each target. */
  private readonly startTimes = new Map<number, number[]>();

  /** Starts at targets beyond the first of each request. */
  public retries = 0;

  private readonly clock = new VirtualClock();

  private readonly random: RandomSource;

  private readonly vms: SimulatedVm[];

  private requestCount = 0;

  public constructor(private readonly load: SimulatedLoad) {
    this.random = createRandom(load.seed);
    const services = Object.entries(load.services).flatMap(([name, size]) =>
      new Array<string>(size).fill(name),
    );
    this.vms = services.map((service, index) => this.createVm(service, index));
    this.vms.forEach((vm) => this.register(vm));
    load.classes.forEach(({ name }) => {
      this.results.set(name, { sent: 0, served: 0, withinGoal: 0, refused: 0, failed: 0 });
    });
  }

  /** Runs the simulation to its end. */
  public async run(): Promise<void> {
    const end = this.load.duration * 1_000;
    this.load.classes
      .filter(({ rate }) => rate > 0)
      .forEach((kind) => this.scheduleNextRequest(kind, end));
    await this.clock.advanceAsync(end + 10_000);
    this.vms.forEach(({ home }) => home.dispose());
  }

  /**
   * Use of each service's targets in sliding windows of `length` milliseconds after `from`. A target is sound if it did
   * not hang in the window and for `recovery` milliseconds before.
   */
  public targetUse(from: number, length: number, recovery: number): TargetUse[] {
    const step = length / 8;
    const end = this.load.duration * 1_000 - length;
    const windows = Array.from({ length: Math.floor((end - from) / step) }, (_, index) => ({
      from: from + index * step,
      to: from + index * step + length,
    }));
    return Object.keys(this.load.services).flatMap((service) =>
      windows.map((window) => {
        const sound = [...this.vms.keys()].filter(
          (index) =>
            this.vms[index]?.service === service &&
            !this.hasHung(index, window.from - recovery, window.to),
        );
        const used = sound.filter((index) =>
          this.startTimes.get(index)?.some((time) => time >= window.from && time < window.to),
        );
        return { from: window.from, service, sound: sound.length, used: used.length };
      }),
    );
  }

  private createVm(service: string, index: number): SimulatedVm {
    const { clock, random } = this;
    const log = { write: () => {} };
    const id = brandAs<DaemonId>(`d-${index}`);
    const region = brandAs<Region>(`region-${index % 2}`);
    const dataCentre = brandAs<DataCentre>(`dc-${index % 4}`);
    const directory = new FleetDirectory(clock, log);
    const { slots, services } = this.load;
    const home = new Home({
      address: `t-${index}`,
      service,
      names: headerNames,
      clock,
      log,
      retryLimits: () => ({ ...retryLimits, slack: this.load.retrySlack ?? retryLimits.slack }),
      countTargets: () => services[service] ?? 1,
      mayExclude: (odds) => directory.mayExclude(brandAs<ServiceName>(service), odds),
      checkStart: () => {},
      connect: (_report, onNotice) => this.connect(index, onNotice),
    });
    const target = brandAs<TargetId>(`t-${index}`);
    home.acceptAnnouncement({
      id: target,
      startedAt: 1,
      sequence: 1,
      service: brandAs<ServiceName>(service),
      address: `t-${index}`,
      slots,
      state: 'ready',
      warmUp: 0,
    });
    const dispatcher = new Dispatcher({
      clock,
      directory,
      placement: new Placement({ region, dataCentre }, defaultLocality, random),
      statistics: new RouteStatistics(),
      send: (candidate, attempt, signal) => this.send(index, candidate, attempt, signal),
      version: () => 1,
      log,
    });
    return { id, target, service, region, directory, dispatcher, home };
  }

  private register(vm: SimulatedVm): void {
    this.vms.forEach(({ directory }) => {
      directory.put({
        daemon: vm.id,
        incarnation: brandAs<Incarnation>('1'),
        serial: 1,
        address: vm.id,
        region: vm.region,
        dataCentre: brandAs<DataCentre>(`dc-${Number(vm.id.slice(2)) % 4}`),
        state: 'serving',
        targets: vm.home.publishedTargets,
      });
    });
  }

  private scheduleNextRequest(kind: SimulatedClass, end: number): void {
    const rate = kind.rate * this.load.rateFactor(this.clock.elapsed());
    const interval = (-Math.log(1 - this.random()) * 1_000) / rate;
    this.clock.after(interval, () => {
      if (this.clock.elapsed() > end) return;
      const vm = Math.floor(this.random() * this.vms.length);
      void this.simulateCaller(vm, kind, kind.deadline);
      this.scheduleNextRequest(kind, end);
    });
  }

  /** Sends one request of a caller, which retries after a refusal if enough of its deadline is left. */
  private async simulateCaller(
    vm: number,
    kind: SimulatedClass,
    deadline: number,
  ): Promise<boolean> {
    const result = this.results.get(kind.name);
    if (result === undefined) return false;
    result.sent += 1;
    const started = this.clock.elapsed();
    const deadlineAt = started + deadline;
    for (let attempt = 0; attempt <= maxCallerRetries; attempt += 1) {
      const left = deadlineAt - this.clock.elapsed();
      const outcome = await this.attempt(vm, kind, Math.min(left, kind.timeout));
      if (outcome.type !== 'refused' || kind.rate === 0) {
        const isServed = outcome.type === 'served';
        result[outcome.type] += 1;
        if (isServed && this.clock.elapsed() - started <= kind.goal) result.withinGoal += 1;
        return isServed;
      }
      if (outcome.retryAfter > (deadlineAt - this.clock.elapsed()) / 3) break;
      await this.sleep(outcome.retryAfter * (1 + this.random() / 2));
    }
    result.refused += 1;
    return false;
  }

  private async attempt(
    vm: number,
    kind: SimulatedClass,
    timeout: number,
  ): Promise<{ type: 'served' | 'failed' } | { type: 'refused'; retryAfter: number }> {
    this.requestCount += 1;
    const service = brandAs<ServiceName>(kind.service);
    const route: TrafficRoute = {
      ...kind,
      host: 'h',
      path: '/',
      maxAttempts: 2,
      parts: [{ service, weight: 1 }],
    };
    const call = {
      id: brandAs<RequestId>(`r-${this.requestCount}`),
      route,
      service,
      method: 'POST',
      path: `/${this.requestCount}`,
      headers: [],
      body: Buffer.alloc(0),
      timeout,
    };
    const { dispatcher } = this.vms[vm] ?? {};
    try {
      const response = await dispatcher?.dispatch(call, new AbortController().signal);
      return { type: response?.status === 200 ? 'served' : 'failed' };
    } catch (error) {
      if (!(error instanceof NotRunError)) return { type: 'failed' };
      const retryAfter = error instanceof HomeRefusalError ? error.details.retryAfter : undefined;
      return { type: 'refused', retryAfter: Math.max(100, retryAfter ?? 500) };
    }
  }

  private async send(
    from: number,
    candidate: Candidate,
    attempt: AttemptRequest,
    signal: AbortSignal,
  ): Promise<TargetAnswer> {
    const here = this.vms[from];
    const there = this.vms.find(({ id }) => id === candidate.daemon);
    if (here === undefined || there === undefined) throw new Error('no such daemon');
    const { call } = attempt;
    const metadata = createRequestMetadata(candidate, attempt, here.id);
    const delay = here.region === there.region ? sameRegionDelayMs : crossRegionDelayMs;
    if (call.route.isIdempotent) attempt.onStart();
    await this.sleep(delay);
    if (here.region === there.region) this.exchangeConditions(here, there);
    const readBody = async (): Promise<Buffer> => {
      attempt.onStart();
      return call.body;
    };
    try {
      const { method, path, headers } = call;
      const response = await there.home.run(
        { ...metadata, method, path, headers },
        readBody,
        signal,
      );
      response.body.resume();
      return { ...response, body: Buffer.alloc(0) };
    } finally {
      await this.sleep(delay);
      if (here.region === there.region) this.exchangeConditions(there, here);
    }
  }

  private exchangeConditions(one: SimulatedVm, other: SimulatedVm): void {
    one.home.conditions.forEach(([target, condition]) => {
      one.directory.recordCondition(target, condition);
    });
    other.directory.mergeConditions(one.directory.recentConditions);
  }

  private connect(index: number, onNotice: (notice: TargetNotice) => void): TargetConnection {
    return {
      send: async (request, _body, timeout, signal) => {
        const response = await this.runOnTarget(index, request, timeout, signal);
        onNotice({ rateLimit: this.rateLimitOf(index), invalidLimit: undefined, isLeaving: false });
        return response;
      },
      dispose: () => {},
    };
  }

  /** Requests per second that a target takes; undefined if it names no limit. */
  public rateLimitOf(index: number): number | undefined {
    const { limits, services } = this.load;
    const { service } = this.vms[index] ?? {};
    if (limits === undefined || service !== limits.service) return undefined;
    const first = this.vms.findIndex((vm) => vm.service === service);
    return index - first < limits.share * (services[service] ?? 0) ? limits.rate : undefined;
  }

  /** Times in milliseconds at which requests started at a target. */
  public startsAt(index: number): readonly number[] {
    return this.startTimes.get(index) ?? [];
  }

  private async runOnTarget(
    index: number,
    request: HomeRequest,
    timeout: number,
    signal: AbortSignal,
  ): Promise<StreamedResponse> {
    const kind = this.load.classes.find(({ name }) => name === request.route);
    if (kind === undefined) throw new Error(`no class ${request.route}`);
    this.recordStart(index);
    const previousStarts = this.starts.get(request.id) ?? 0;
    this.starts.set(request.id, previousStarts + 1);
    if (previousStarts > 0) this.retries += 1;
    if (previousStarts > 0 && !kind.isIdempotent) this.duplicateStarts.push(request.id);
    const end = this.clock.elapsed() + timeout;
    const isLost = this.isHanging(index) && this.random() < this.load.hangs.loss;
    await this.sleep(isLost ? timeout : this.sampleWork(kind.work), signal, timeout);
    const calledClass = this.load.classes.find(({ name }) => name === kind.calls);
    if (calledClass !== undefined && this.random() < 0.7) {
      const left = Math.min(calledClass.timeout, end - this.clock.elapsed());
      const isAnswered = left > 0 && (await this.simulateCaller(index, calledClass, left));
      return { status: isAnswered ? 200 : 500, headers: [], body: Readable.from([]) };
    }
    return { status: 200, headers: [], body: Readable.from([]) };
  }

  private recordStart(index: number): void {
    const times = this.startTimes.get(index) ?? [];
    times.push(this.clock.elapsed());
    this.startTimes.set(index, times);
  }

  /** Whether a target hung at any time between `from` and `to`. */
  private hasHung(index: number, from: number, to: number): boolean {
    const { period } = this.load.hangs;
    const times = [to];
    for (let time = Math.max(0, from); time < to; time += period) times.push(time);
    return times.some((time) => this.isHanging(index, time));
  }

  /** Tells whether a target hangs; the set of hanging targets changes in each period. */
  private isHanging(index: number, time = this.clock.elapsed()): boolean {
    const { share, period } = this.load.hangs;
    const periodIndex = Math.floor(time / period);
    return hashString(`${periodIndex}/${index}`, this.load.seed) < share * hashRange;
  }

  private sampleWork(mean: number): number {
    const normal =
      Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random());
    const factor = this.random() < stragglers.share ? stragglers.factor : 1;
    return mean * factor * Math.exp(workLogStdDev * normal - workLogStdDev ** 2 / 2);
  }

  private sleep(delay: number, signal?: AbortSignal, limit = Infinity): Promise<void> {
    return new Promise((resolve, reject) => {
      const fail = (kind: 'timeout' | 'cancelled') =>
        reject(new TargetFailure(kind, new OutcomeUnknownError(kind, { step: 'target' })));
      const timer = this.clock.after(Math.min(delay, limit), () => {
        if (delay >= limit) fail('timeout');
        else resolve();
      });
      signal?.addEventListener('abort', () => {
        timer.dispose();
        fail('cancelled');
      });
    });
  }
}
