import type { Clock, ServiceName } from '../base/index.js';
import type { RetryLimiter } from './Types.js';
import { SlidingWindowCounter } from './SlidingWindowCounter.js';

/** Seconds over which the share holds. An entry with one request a second can still retry one failure. */
const windowSeconds = 10;

/** Largest share that the requirement allows. */
export const maxRetryShare = 0.1;

/** Retries that can follow each other at once after a quiet time. */
const burst = 5;

interface Account {
  readonly requests: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
  /** Retries earned and not used, at most `burst`. */
  earned: number;
}

/**
 * Retry budget of an entry, for each service. Retries are a share of the entry's own requests, both
 * within the last seconds, so the sum over all entries keeps the share without any message.
 * A second bound spreads the retries over the window.
 */
export class RetryBudget implements RetryLimiter {
  private readonly accounts = new Map<ServiceName, Account>();

  /** `shareOf` gives the share of retries among the requests of a service; above 0.1 it counts as 0.1. */
  public constructor(
    private readonly shareOf: (service: ServiceName) => number,
    private readonly clock: Clock,
  ) {}

  public recordRequest(service: ServiceName): void {
    const account = this.ensure(service);
    account.requests.add();
    account.earned = Math.min(burst, account.earned + this.limitOf(service));
  }

  public takeRetry(service: ServiceName): boolean {
    const account = this.ensure(service);
    const allowed = account.requests.sum * this.limitOf(service);
    if (account.earned < 1 || account.retries.sum + 1 > allowed) return false;
    account.earned -= 1;
    account.retries.add();
    return true;
  }

  private limitOf(service: ServiceName): number {
    return Math.min(maxRetryShare, Math.max(0, this.shareOf(service)));
  }

  private ensure(service: ServiceName): Account {
    let account = this.accounts.get(service);
    if (account === undefined) {
      const createCounter = () => new SlidingWindowCounter(windowSeconds, this.clock);
      account = { requests: createCounter(), retries: createCounter(), earned: 0 };
      this.accounts.set(service, account);
    }
    return account;
  }
}
