import type { Clock, Disposable, OutcomeKind, RandomSource } from '../api/index.js';

/** Faults of a fake target; they can be combined. */
export interface Fault {
  /** Factor on the service time; 1 is healthy. */
  readonly slowness: number;
  /** Share of requests that fail at once with `failure`. */
  readonly failureShare: number;
  readonly failure: OutcomeKind;
  /** Never answers; requests end with the caller's timeout. */
  readonly isSilent: boolean;
}

/** No fault. */
export const healthy: Fault = {
  slowness: 1,
  failureShare: 0,
  failure: 'server-error',
  isSilent: false,
};

/** Answer of a fake target to one request. */
export interface FakeAnswer {
  readonly kind: OutcomeKind;
  /** Milliseconds from arrival to answer. */
  readonly latency: number;
}

interface Job {
  readonly serviceTime: number;
  readonly arrivedAt: number;
  readonly done: (answer: FakeAnswer) => void;
  isEnded: boolean;
  timer?: Disposable;
}

/** Target on a virtual clock that runs up to `slots` requests concurrently and queues the rest in FIFO order. */
export class FakeTarget {
  public fault: Fault = healthy;

  private readonly waiting: Job[] = [];

  private runningCount = 0;

  public constructor(
    public readonly id: string,
    public readonly slots: number,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Requests that hold a slot. */
  public get running(): number {
    return this.runningCount;
  }

  /** Requests in the target's own queue. */
  public get queued(): number {
    return this.waiting.length;
  }

  /** Submits a request that occupies a slot for `serviceTime` milliseconds; disposing the result cancels it. */
  public submit(serviceTime: number, done: (answer: FakeAnswer) => void): Disposable {
    const job: Job = {
      serviceTime,
      arrivedAt: this.clock.elapsed(),
      done,
      isEnded: false,
    };
    this.waiting.push(job);
    this.startNext();
    return { dispose: () => this.cancel(job) };
  }

  private startNext(): void {
    while (this.runningCount < this.slots) {
      const job = this.waiting.shift();
      if (job === undefined) return;
      this.runningCount += 1;
      this.run(job);
    }
  }

  private run(job: Job): void {
    if (this.fault.isSilent) return;
    const isFailing = this.random() < this.fault.failureShare;
    const duration = isFailing ? 1 : job.serviceTime * this.fault.slowness;
    job.timer = this.clock.after(duration, () => {
      this.release(job);
      const latency = this.clock.elapsed() - job.arrivedAt;
      job.done({ kind: isFailing ? this.fault.failure : 'success', latency });
    });
  }

  private release(job: Job): void {
    job.isEnded = true;
    this.runningCount -= 1;
    this.startNext();
  }

  private cancel(job: Job): void {
    if (job.isEnded) return;
    job.timer?.dispose();
    const index = this.waiting.indexOf(job);
    if (index >= 0) {
      job.isEnded = true;
      this.waiting.splice(index, 1);
    } else this.release(job);
  }
}
