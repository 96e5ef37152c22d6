import type { Clock, ServiceName } from '../base/index.js';
import type { CrossRegionAllowance } from './Types.js';

/** Bucket capacity in seconds of the rate. */
const burstSeconds = 1;

interface Bucket {
  /** Bytes; negative after responses that were larger than reserved. */
  balance: number;
  filledAt: number;
}

/** Token bucket per service for the bytes sent to the other region. */
export class CrossRegionBudget implements CrossRegionAllowance {
  private readonly buckets = new Map<ServiceName, Bucket>();

  /** `rateOf` returns the bytes per second that this daemon may send to the other region for a service. */
  public constructor(
    private readonly rateOf: (service: ServiceName) => number,
    private readonly clock: Clock,
  ) {}

  public reserve(service: ServiceName, bytes: number): boolean {
    const bucket = this.fill(service);
    if (
      bucket.balance <= 0 ||
      bucket.balance < Math.min(bytes, this.rateOf(service) * burstSeconds)
    ) {
      return false;
    }
    bucket.balance -= bytes;
    return true;
  }

  /** Replaces a reservation by the number of bytes actually sent. */
  public settle(service: ServiceName, reserved: number, sent: number): void {
    this.fill(service).balance += reserved - sent;
  }

  private fill(service: ServiceName): Bucket {
    const rate = this.rateOf(service);
    const now = this.clock.elapsed();
    let bucket = this.buckets.get(service);
    if (bucket === undefined) {
      bucket = { balance: rate * burstSeconds, filledAt: now };
      this.buckets.set(service, bucket);
    }
    const gained = (rate * (now - bucket.filledAt)) / 1000;
    bucket.balance = Math.min(rate * burstSeconds, bucket.balance + gained);
    bucket.filledAt = now;
    return bucket;
  }
}
