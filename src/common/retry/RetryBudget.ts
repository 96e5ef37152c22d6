import type { Clock, ServiceName } from '../base/index.js';
import type { RetryLimiter } from './Types.js';
import { SlidingWindowCounter } from './SlidingWindowCounter.js';

/** Window in seconds over which the share is enforced. An entry with one request a second can retry one failure in it. */
const windowSeconds = 10;

/** Highest share of retries among the requests that the requirement allows. */
export const maxRetryShare = 0.1;

/** Maximum number of consecutive retries after a period without retries. */
const maxBurst = 5;

interface ServiceBudget {
  readonly requests: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
  /** Retries that were earned and not used, at most `maxBurst`. */
  credit: number;
}

/**
 * Retry budget of an entry per service. Retries are limited to a share of the entry's own requests in a sliding window,
 * so the sum over all entries stays within the share without coordination. The credit spreads the retries over the window.
 */
export class RetryBudget implements RetryLimiter {
  private readonly budgets = new Map<ServiceName, ServiceBudget>();

  /** `configuredShareOf` returns the share of retries among the requests of a service; it is limited to `maxRetryShare`. */
  public constructor(
    private readonly configuredShareOf: (service: ServiceName) => number,
    private readonly clock: Clock,
  ) {}

  public recordRequest(service: ServiceName): void {
    const budget = this.budgetOf(service);
    budget.requests.add();
    budget.credit = Math.min(maxBurst, budget.credit + this.retryShareOf(service));
  }

  public takeRetry(service: ServiceName): boolean {
    const budget = this.budgetOf(service);
    const allowed = budget.requests.sum * this.retryShareOf(service);
    if (budget.credit < 1 || budget.retries.sum + 1 > allowed) return false;
    budget.credit -= 1;
    budget.retries.add();
    return true;
  }

  private retryShareOf(service: ServiceName): number {
    return Math.min(maxRetryShare, Math.max(0, this.configuredShareOf(service)));
  }

  private budgetOf(service: ServiceName): ServiceBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      const createCounter = () => new SlidingWindowCounter(windowSeconds, this.clock);
      budget = { requests: createCounter(), retries: createCounter(), credit: 0 };
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
