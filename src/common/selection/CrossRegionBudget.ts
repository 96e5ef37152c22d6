import type { Clock, ServiceName } from '../base/index.js';
import type { CrossRegionAllowance } from './Types.js';

/** Seconds of the rate that can be saved up. */
const burst = 1;

interface Bucket {
  /** Bytes; negative after answers that were larger than reserved. */
  balance: number;
  filledAt: number;
}

/** Token bucket of bytes towards the other region for each service. */
export class CrossRegionBudget implements CrossRegionAllowance {
  private readonly buckets = new Map<ServiceName, Bucket>();

  /** `rateOf` gives the bytes a second that this daemon may send to the other region for a service. */
  public constructor(
    private readonly rateOf: (service: ServiceName) => number,
    private readonly clock: Clock,
  ) {}

  public reserve(service: ServiceName, bytes: number): boolean {
    const bucket = this.fill(service);
    if (bucket.balance <= 0 || bucket.balance < Math.min(bytes, this.rateOf(service) * burst)) {
      return false;
    }
    bucket.balance -= bytes;
    return true;
  }

  /** Corrects a reservation by the bytes that were really sent. */
  public settle(service: ServiceName, reserved: number, sent: number): void {
    this.fill(service).balance += reserved - sent;
  }

  private fill(service: ServiceName): Bucket {
    const rate = this.rateOf(service);
    const now = this.clock.elapsed();
    let bucket = this.buckets.get(service);
    if (bucket === undefined) {
      bucket = { balance: rate * burst, filledAt: now };
      this.buckets.set(service, bucket);
    }
    const gained = (rate * (now - bucket.filledAt)) / 1000;
    bucket.balance = Math.min(rate * burst, bucket.balance + gained);
    bucket.filledAt = now;
    return bucket;
  }
}
