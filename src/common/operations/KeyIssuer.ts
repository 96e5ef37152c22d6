import {
  brandAs,
  type Clock,
  type DaemonId,
  type Incarnation,
  type OperationKey,
} from '../base/index.js';

const issuedKeyPattern = /^issued\.(.+)\.([^.]+)\.([0-9a-z]+)\.([\w-]+)$/;
const counterRadix = 36;
/** Milliseconds between two expiry checkpoints. A key can outlive its lifetime by this much. */
const checkpointInterval = 60_000;

/** Parts of an issued key. */
export interface IssuedKey {
  readonly daemon: DaemonId;
  readonly incarnation: Incarnation;
  readonly counter: number;
  readonly signature: string;
}

/** Parses an issued key; undefined for a key that a caller chose. */
export function parseIssuedKey(key: OperationKey): IssuedKey | undefined {
  const match = issuedKeyPattern.exec(key);
  if (match === null) return undefined;
  const [, daemon = '', incarnation = '', counter = '', signature = ''] = match;
  return {
    daemon: brandAs<DaemonId>(daemon),
    incarnation: brandAs<Incarnation>(incarnation),
    counter: parseInt(counter, counterRadix),
    signature,
  };
}

/** Settings of the issuer. */
export interface IssuerOptions {
  readonly daemon: DaemonId;
  readonly incarnation: Incarnation;
  /** Milliseconds for which a key is valid. */
  readonly lifetime: number;
  /** Signs a text with a secret of this incarnation, as base64url, so that no caller can guess another's key. */
  readonly sign: (text: string) => string;
}

interface Checkpoint {
  readonly at: number;
  readonly counter: number;
}

/**
 * Issues keys that only this incarnation may start. A key has expired when its counter is at or below that of the
 * last expired checkpoint, so expired keys need not be stored.
 */
export class KeyIssuer {
  private counter = 0;

  private lastExpiredCounter = 0;

  private checkpoints: Checkpoint[] = [];

  public constructor(
    private readonly clock: Clock,
    private readonly options: IssuerOptions,
  ) {}

  public issue(): OperationKey {
    this.counter += 1;
    this.addCheckpoint();
    const { daemon, incarnation, sign } = this.options;
    const text = `issued.${daemon}.${incarnation}.${this.counter.toString(counterRadix)}`;
    return brandAs<OperationKey>(`${text}.${sign(text)}`);
  }

  /** Whether this incarnation issued the key, as proved by the signature. */
  public hasIssued(key: OperationKey): boolean {
    const parts = parseIssuedKey(key);
    const { daemon, incarnation, sign } = this.options;
    if (parts?.daemon !== daemon || parts.incarnation !== incarnation) return false;
    return sign(key.slice(0, key.lastIndexOf('.'))) === parts.signature;
  }

  /** Whether a key of this issuer is no longer valid. */
  public isExpired(key: OperationKey): boolean {
    this.updateLastExpired();
    return (parseIssuedKey(key)?.counter ?? 0) <= this.lastExpiredCounter;
  }

  private addCheckpoint(): void {
    const at = this.clock.elapsed();
    const last = this.checkpoints[this.checkpoints.length - 1];
    if (last !== undefined && at - last.at < checkpointInterval) {
      this.checkpoints[this.checkpoints.length - 1] = { at: last.at, counter: this.counter };
    } else this.checkpoints.push({ at, counter: this.counter });
  }

  private updateLastExpired(): void {
    const limit = this.clock.elapsed() - this.options.lifetime - checkpointInterval;
    const expired = this.checkpoints.filter(({ at }) => at <= limit);
    const last = expired[expired.length - 1];
    if (last === undefined) return;
    this.lastExpiredCounter = Math.max(this.lastExpiredCounter, last.counter);
    this.checkpoints = this.checkpoints.filter(({ at }) => at > limit);
  }
}
