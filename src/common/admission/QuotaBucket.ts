import type { QuotaGrant } from './QuotaTypes.js';

/** Weight of the last second in the estimated demand. */
const demandWeight = 0.5;

/** A new grant is requested when less than this share of the last one is left. */
const refillShare = 0.3;

/** Milliseconds before the owner is asked again after a failed request; the fallback share applies meanwhile. */
const requestRetryInterval = 1_000;

/** Token bucket of one quota key at an entry. Times are milliseconds on the monotonic clock. */
export class QuotaBucket {
  /** Requests that may still be accepted; negative after critical work went over the limit. */
  private tokens = 0;

  private expiresAt = 0;

  private lastGrant = 0;

  private demandRate = 0;

  private requestCount = 0;

  private windowStart: number;

  private fallback: { tokens: number; filledAt: number } | undefined;

  /** Whether a request for a grant is in flight. */
  public isRequestPending = false;

  /** Earliest time of the next request for a grant. */
  public nextRequestAt = 0;

  public lastUsedAt: number;

  public constructor(now: number) {
    this.windowStart = now;
    this.lastUsedAt = now;
  }

  /** Counts a request of a caller, accepted or not. */
  public countRequest(now: number): void {
    this.rollWindow(now);
    this.requestCount += 1;
    this.lastUsedAt = now;
  }

  /** Requests expected in the next second, at least 1. */
  public estimateDemand(now: number): number {
    this.rollWindow(now);
    return Math.max(1, Math.ceil(Math.max(this.demandRate, this.requestCount)));
  }

  /** Whether one request may be accepted. Up to `overdraft` requests may be borrowed from the next grant. */
  public canTake(now: number, overdraft: number): boolean {
    this.expire(now);
    return this.tokens + overdraft >= 1 || (this.fallback?.tokens ?? 0) >= 1;
  }

  /** Takes one token: from the grant, or from the fallback share if the grant is used up. */
  public take(): void {
    if (this.tokens < 1 && this.fallback !== undefined && this.fallback.tokens >= 1) {
      this.fallback.tokens -= 1;
    } else this.tokens -= 1;
  }

  /** Whether the next grant should be requested. */
  public isLow(now: number): boolean {
    this.expire(now);
    return this.tokens <= this.lastGrant * refillShare;
  }

  /** Size of the last grant in requests; it bounds the overdraft. */
  public get lastGrantSize(): number {
    return this.lastGrant;
  }

  /** Adds a grant from the owner and drops the fallback share. */
  public addGrant(grant: QuotaGrant, now: number): void {
    this.expire(now);
    this.fallback = undefined;
    this.tokens += grant.granted;
    this.lastGrant = grant.granted;
    this.expiresAt = now + grant.validFor;
    this.nextRequestAt = now + grant.askAfter;
  }

  /** Refills the fallback share at `rate` requests per second, the entry's part of the limit. */
  public refillFallback(rate: number, now: number): void {
    const bucket = this.fallback ?? { tokens: Math.min(1, rate), filledAt: now };
    const gained = (rate * (now - bucket.filledAt)) / 1_000;
    this.fallback = { tokens: Math.min(Math.max(1, rate), bucket.tokens + gained), filledAt: now };
    this.nextRequestAt = Math.max(this.nextRequestAt, now);
  }

  /** Whether the entry uses its fallback share because the owner does not respond. */
  public get usesFallback(): boolean {
    return this.fallback !== undefined;
  }

  /** Delays the next request after the owner did not respond. */
  public postponeRequest(now: number): void {
    this.nextRequestAt = now + requestRetryInterval;
  }

  private expire(now: number): void {
    if (now >= this.expiresAt) this.tokens = Math.min(0, this.tokens);
  }

  private rollWindow(now: number): void {
    const seconds = Math.floor((now - this.windowStart) / 1_000);
    if (seconds <= 0) return;
    this.demandRate += demandWeight * (this.requestCount - this.demandRate);
    // Whole seconds without a request lower the estimate further.
    this.demandRate *= (1 - demandWeight) ** (seconds - 1);
    this.requestCount = 0;
    this.windowStart += seconds * 1_000;
  }
}
