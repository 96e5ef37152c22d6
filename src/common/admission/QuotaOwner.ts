import type { Clock, Disposable } from '../base/index.js';
import type { QuotaDemand, QuotaGrant, QuotaKey, QuotaLimit } from './QuotaTypes.js';

/** Seconds of a limit that can be saved up. A new owner starts with them, which bounds its error. */
const burstSeconds = 1;

/** Milliseconds for which a grant can be used when the limit is nearly used up. */
const shortGrant = 2_000;

/** Milliseconds for which a grant can be used while less than half of the limit is used. */
const longGrant = 10_000;

/** Seconds of demand that a long grant covers. It makes a quiet key cost a tenth of the messages. */
const longGrantSeconds = 10;

/** Above this share of saved requests the limit counts as hardly used. */
const plenty = 0.5;

/** Grant divided by demand while the demand is below the limit; demand of the next second may be higher. */
const mostHeadroom = 2;

/** Milliseconds between two grants of a key to one entry when the limit is nearly used up. */
const grantInterval = 1_000;

/** Milliseconds after which an entry that got nothing may ask again. */
const waitAfterNothing = { least: 1_000, most: 5_000 } as const;

/** State of a key that has not been asked for in this many milliseconds is dropped. */
const idleTime = 30_000;

/** State of one key; it does not grow with the number of entries. */
interface Bucket {
  tokens: number;
  filledAt: number;
  /** Start of the second that is being counted. */
  countedSince: number;
  /** Sum of the demands in the present second and in the one before. */
  demand: number;
  lastDemand: number;
  /** Wishes of the present second that got nothing. */
  emptyHanded: number;
}

const emptyCounts = { demand: 0, lastDemand: 0, emptyHanded: 0 } as const;

/** Owner side of the limits: hands out requests of each key so that the sum over entries keeps the limit. */
export class QuotaOwner implements Disposable {
  private readonly buckets = new Map<QuotaKey, Bucket>();

  private sweep: Disposable | undefined;

  public constructor(
    private readonly limitOf: QuotaLimit,
    private readonly clock: Clock,
  ) {}

  /** Keys with state. */
  public get size(): number {
    return this.buckets.size;
  }

  /** Grants a part of each demand. A key without a limit is granted in full. */
  public grant(demands: readonly QuotaDemand[]): readonly QuotaGrant[] {
    return demands.map((demand) => this.grantOne(demand));
  }

  public dispose(): void {
    this.sweep?.dispose();
    this.sweep = undefined;
  }

  private grantOne({ key, demand }: QuotaDemand): QuotaGrant {
    const limit = this.limitOf(key);
    const wanted = Math.max(1, demand);
    if (limit <= 0) return QuotaOwner.grantLong(key, wanted * longGrantSeconds);
    const bucket = this.fill(key, limit);
    bucket.demand += wanted;
    const most = Math.floor(bucket.tokens);
    const saved = bucket.tokens - plenty * limit * burstSeconds;
    if (saved >= wanted) {
      const granted = Math.floor(Math.min(wanted * longGrantSeconds, saved));
      bucket.tokens -= granted;
      return QuotaOwner.grantLong(key, granted);
    }
    const scale = Math.min(mostHeadroom, limit / Math.max(bucket.demand, bucket.lastDemand));
    const granted = Math.min(most, Math.max(1, Math.round(wanted * scale)));
    bucket.tokens -= granted;
    if (granted === 0)
      return { key, granted, validFor: 0, askAfter: QuotaOwner.waitFor(bucket, limit) };
    const askAfter = scale < 1 ? grantInterval : grantInterval / 4;
    return { key, granted, validFor: shortGrant, askAfter };
  }

  private static grantLong(key: QuotaKey, granted: number): QuotaGrant {
    return { key, granted, validFor: longGrant, askAfter: 0 };
  }

  /** The wait grows with the number of entries that got nothing, so that their messages stay bounded. */
  private static waitFor(bucket: Bucket, limit: number): number {
    bucket.emptyHanded += 1;
    const wait = (grantInterval * bucket.emptyHanded) / limit;
    return Math.min(waitAfterNothing.most, Math.max(waitAfterNothing.least, wait));
  }

  private fill(key: QuotaKey, limit: number): Bucket {
    const now = this.clock.elapsed();
    // At least one whole request can be saved, or a limit below one a second would grant nothing.
    const most = Math.max(1, limit * burstSeconds);
    let bucket = this.buckets.get(key);
    if (bucket === undefined) {
      bucket = { ...emptyCounts, tokens: most, filledAt: now, countedSince: now };
      this.buckets.set(key, bucket);
      this.scheduleSweep();
    }
    bucket.tokens = Math.min(most, bucket.tokens + (limit * (now - bucket.filledAt)) / 1_000);
    bucket.filledAt = now;
    QuotaOwner.rollSecond(bucket, now);
    return bucket;
  }

  private static rollSecond(bucket: Bucket, now: number): void {
    const passed = now - bucket.countedSince;
    if (passed < grantInterval) return;
    bucket.lastDemand = passed < 2 * grantInterval ? bucket.demand : 0;
    bucket.demand = 0;
    bucket.emptyHanded = 0;
    bucket.countedSince = now;
  }

  private scheduleSweep(): void {
    this.sweep ??= this.clock.after(idleTime, () => {
      this.sweep = undefined;
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
