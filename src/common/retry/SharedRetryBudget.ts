import type { Clock, ServiceName } from '../base/index.js';
import type { RetryAllowance } from './Types.js';
import { WindowCounter } from './WindowCounter.js';

/** Part of the fleet's allowance that is used, so that windows which slide differently keep it too. */
const usedShare = 0.8;

/** Allowance of the whole fleet for one service. */
export interface FleetAllowance {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries in each window that need no request. */
  readonly slack: number;
  /** Seconds of the window. */
  readonly window: number;
}

interface Account {
  readonly requests: WindowCounter;
  readonly retries: WindowCounter;
}

/**
 * Part of the fleet's retry budget that one daemon may use without asking anyone: the ratio of its own
 * requests, and an equal part of the slack.
 */
export class SharedRetryBudget implements RetryAllowance {
  private readonly accounts = new Map<ServiceName, Account>();

  /** `allowance` is asked each time, since operators can change it; `daemons` gives the number of daemons that share the slack. */
  public constructor(
    private readonly allowance: () => FleetAllowance,
    private readonly daemons: () => number,
    private readonly clock: Clock,
  ) {}

  public recordRequest(service: ServiceName): void {
    this.ensure(service).requests.add();
  }

  public takeRetry(service: ServiceName): boolean {
    const { requests, retries } = this.ensure(service);
    const { ratio, slack } = this.allowance();
    const allowed = usedShare * (ratio * requests.sum + slack / Math.max(1, this.daemons()));
    if (retries.sum + 1 > allowed) return false;
    retries.add();
    return true;
  }

  private ensure(service: ServiceName): Account {
    let account = this.accounts.get(service);
    if (account === undefined) {
      const { window } = this.allowance();
      account = {
        requests: new WindowCounter(window, this.clock),
        // One second more, since a window that slides can begin within the oldest second.
        retries: new WindowCounter(window + 1, this.clock),
      };
      this.accounts.set(service, account);
    }
    return account;
  }
}
