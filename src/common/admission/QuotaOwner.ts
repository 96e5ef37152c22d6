import type { Clock, Disposable } from '../base/index.js';
import type { QuotaDemand, QuotaGrant, QuotaKey, QuotaLimit } from './QuotaTypes.js';

/** Bucket capacity in seconds of the limit; also the excess after a change of owner, whose bucket is full. */
const burstSeconds = 1;

/** Milliseconds for which a grant is valid when the limit is nearly used up. */
const shortGrantLifetime = 2_000;

/** Milliseconds for which a grant is valid while less than half of the limit is used. */
const longGrantLifetime = 10_000;

/** Seconds of demand that a long grant covers, so that a key with little traffic needs a tenth of the messages. */
const longGrantSeconds = 10;

/** Fill level of the bucket above which long grants are given. */
const longGrantFillLevel = 0.5;

/** Maximum ratio of grant to demand; the demand may rise in the next second. */
const maxHeadroom = 2;

/** Milliseconds between two grants of a key to one entry when the limit is nearly used up. */
const grantInterval = 1_000;

/** Bounds of the milliseconds after which an entry may ask again after an empty grant. */
const emptyGrantWait = { min: 1_000, max: 5_000 } as const;

/** State of a key is dropped after this many milliseconds without a request. */
const idleTime = 30_000;

/** State of one key; its size does not depend on the number of entries. */
interface Bucket {
  tokens: number;
  filledAt: number;
  /** Start of the current window of one second. */
  windowStart: number;
  /** Sums of the demands in the current window and in the previous one. */
  demand: number;
  lastDemand: number;
  /** Empty grants in the current window. */
  emptyGrants: number;
}

const initialCounts = { demand: 0, lastDemand: 0, emptyGrants: 0 } as const;

/** Owner side of the quotas: grants requests of each key to the entries so that their sum stays within the limit. */
export class QuotaOwner implements Disposable {
  private readonly buckets = new Map<QuotaKey, Bucket>();

  private sweepTimer: Disposable | undefined;

  public constructor(
    private readonly limitOf: QuotaLimit,
    private readonly clock: Clock,
  ) {}

  /** Number of keys with state. */
  public get size(): number {
    return this.buckets.size;
  }

  /** Grants a part of each demand. A key without a limit is granted in full. */
  public grant(demands: readonly QuotaDemand[]): readonly QuotaGrant[] {
    return demands.map((demand) => this.grantOne(demand));
  }

  public dispose(): void {
    this.sweepTimer?.dispose();
    this.sweepTimer = undefined;
  }

  private grantOne({ key, demand }: QuotaDemand): QuotaGrant {
    const limit = this.limitOf(key);
    const wanted = Math.max(1, demand);
    if (limit <= 0) return QuotaOwner.grantLong(key, wanted * longGrantSeconds);
    const bucket = this.fill(key, limit);
    bucket.demand += wanted;
    const available = Math.floor(bucket.tokens);
    const surplus = bucket.tokens - longGrantFillLevel * limit * burstSeconds;
    if (surplus >= wanted) {
      const granted = Math.floor(Math.min(wanted * longGrantSeconds, surplus));
      bucket.tokens -= granted;
      return QuotaOwner.grantLong(key, granted);
    }
    const scale = Math.min(maxHeadroom, limit / Math.max(bucket.demand, bucket.lastDemand));
    const granted = Math.min(available, Math.max(1, Math.round(wanted * scale)));
    bucket.tokens -= granted;
    if (granted === 0)
      return { key, granted, validFor: 0, askAfter: QuotaOwner.waitFor(bucket, limit) };
    const askAfter = scale < 1 ? grantInterval : grantInterval / 4;
    return { key, granted, validFor: shortGrantLifetime, askAfter };
  }

  private static grantLong(key: QuotaKey, granted: number): QuotaGrant {
    return { key, granted, validFor: longGrantLifetime, askAfter: 0 };
  }

  /** The wait grows with the number of empty grants, so that the message rate stays bounded. */
  private static waitFor(bucket: Bucket, limit: number): number {
    bucket.emptyGrants += 1;
    const wait = (grantInterval * bucket.emptyGrants) / limit;
    return Math.min(emptyGrantWait.max, Math.max(emptyGrantWait.min, wait));
  }

  private fill(key: QuotaKey, limit: number): Bucket {
    const now = this.clock.elapsed();
    // The bucket holds at least one request; otherwise a limit below one per second would never be granted.
    const capacity = Math.max(1, limit * burstSeconds);
    let bucket = this.buckets.get(key);
    if (bucket === undefined) {
      bucket = { ...initialCounts, tokens: capacity, filledAt: now, windowStart: now };
      this.buckets.set(key, bucket);
      this.scheduleSweep();
    }
    bucket.tokens = Math.min(capacity, bucket.tokens + (limit * (now - bucket.filledAt)) / 1_000);
    bucket.filledAt = now;
    QuotaOwner.rollWindow(bucket, now);
    return bucket;
  }

  private static rollWindow(bucket: Bucket, now: number): void {
    const passed = now - bucket.windowStart;
    if (passed < grantInterval) return;
    bucket.lastDemand = passed < 2 * grantInterval ? bucket.demand : 0;
    bucket.demand = 0;
    bucket.emptyGrants = 0;
    bucket.windowStart = now;
  }

  private scheduleSweep(): void {
    this.sweepTimer ??= this.clock.after(idleTime, () => {
      this.sweepTimer = undefined;
      this.dropIdle();
      if (this.buckets.size > 0) this.scheduleSweep();
    });
  }

  private dropIdle(): void {
    const oldest = this.clock.elapsed() - idleTime;
    this.buckets.forEach((bucket, key) => {
      if (bucket.filledAt <= oldest) this.buckets.delete(key);
    });
  }
}
