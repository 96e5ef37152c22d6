import type { QuotaGrant } from './QuotaTypes.js';

/** Weight of the last second in the estimated demand. */
const demandWeight = 0.5;

/** An entry asks for more when less than this share of its grant is left. */
const refillShare = 0.3;

/** Milliseconds without an answer of the owner for which the entry keeps to its own share. */
const ownShareTime = 1_000;

/** What an entry knows of one key. Times are on the monotonic clock in milliseconds. */
export class QuotaBucket {
  /** Requests that may still be accepted; negative after critical work went over the limit. */
  private tokens = 0;

  private lapsesAt = 0;

  private lastGrant = 0;

  private rate = 0;

  private counted = 0;

  private countedSince: number;

  private ownShare: { tokens: number; filledAt: number } | undefined;

  /** A request for a grant is under way. */
  public isRequestPending = false;

  /** Earliest time of the next request for a grant. */
  public nextRequestAt = 0;

  public lastUsedAt: number;

  public constructor(now: number) {
    this.countedSince = now;
    this.lastUsedAt = now;
  }

  /** Counts a request of a caller, accepted or not. */
  public countRequest(now: number): void {
    this.rollSecond(now);
    this.counted += 1;
    this.lastUsedAt = now;
  }

  /** Requests expected in the next second, at least 1. */
  public estimateDemand(now: number): number {
    this.rollSecond(now);
    return Math.max(1, Math.ceil(Math.max(this.rate, this.counted)));
  }

  /** Whether one request may be accepted. `overdraft` requests may be taken ahead of the next grant. */
  public canTake(now: number, overdraft: number): boolean {
    this.lapse(now);
    return this.tokens + overdraft >= 1 || (this.ownShare?.tokens ?? 0) >= 1;
  }

  /** Takes one request. */
  public take(): void {
    if (this.tokens < 1 && this.ownShare !== undefined && this.ownShare.tokens >= 1) {
      this.ownShare.tokens -= 1;
    } else this.tokens -= 1;
  }

  /** Whether more should be asked for before the grant is used up. */
  public isLow(now: number): boolean {
    this.lapse(now);
    return this.tokens <= this.lastGrant * refillShare;
  }

  /** Requests of the last grant; the measure for an overdraft. */
  public get lastGrantSize(): number {
    return this.lastGrant;
  }

  /** Adds a grant of the owner. */
  public addGrant(grant: QuotaGrant, now: number): void {
    this.lapse(now);
    this.ownShare = undefined;
    this.tokens += grant.granted;
    this.lastGrant = grant.granted;
    this.lapsesAt = now + grant.validFor;
    this.nextRequestAt = now + grant.askAfter;
  }

  /** The owner did not answer: the entry accepts its own part of the limit, in requests a second. */
  public refillFallback(part: number, now: number): void {
    const share = this.ownShare ?? { tokens: Math.min(1, part), filledAt: now };
    const gained = (part * (now - share.filledAt)) / 1_000;
    this.ownShare = { tokens: Math.min(Math.max(1, part), share.tokens + gained), filledAt: now };
    this.nextRequestAt = Math.max(this.nextRequestAt, now);
  }

  /** Whether the entry keeps to its own share because the owner does not answer. */
  public get usesFallback(): boolean {
    return this.ownShare !== undefined;
  }

  /** Puts off the next request to an owner that did not answer. */
  public postponeRequest(now: number): void {
    this.nextRequestAt = now + ownShareTime;
  }

  private lapse(now: number): void {
    if (now >= this.lapsesAt) this.tokens = Math.min(0, this.tokens);
  }

  private rollSecond(now: number): void {
    const seconds = Math.floor((now - this.countedSince) / 1_000);
    if (seconds <= 0) return;
    this.rate += demandWeight * (this.counted - this.rate);
    // Whole seconds without a request lower the estimate further.
    this.rate *= (1 - demandWeight) ** (seconds - 1);
    this.counted = 0;
    this.countedSince += seconds * 1_000;
  }
}
