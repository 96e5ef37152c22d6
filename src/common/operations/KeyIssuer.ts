import {
  brandAs,
  type Clock,
  type DaemonId,
  type Incarnation,
  type OperationKey,
} from '../base/index.js';

const pattern = /^issued\.(.+)\.([^.]+)\.([0-9a-z]+)\.([\w-]+)$/;
const radix = 36;
/** Milliseconds between two expiry marks, by which a key can live longer than its lifetime. */
const markInterval = 60_000;

/** Parts of an issued key. */
export interface IssuedKey {
  readonly daemon: DaemonId;
  readonly incarnation: Incarnation;
  readonly counter: number;
  readonly signature: string;
}

/** Reads the parts of an issued key; undefined for a caller's own key. */
export function parseIssuedKey(key: OperationKey): IssuedKey | undefined {
  const match = pattern.exec(key);
  if (match === null) return undefined;
  const [, daemon = '', incarnation = '', counter = '', signature = ''] = match;
  return {
    daemon: brandAs<DaemonId>(daemon),
    incarnation: brandAs<Incarnation>(incarnation),
    counter: parseInt(counter, radix),
    signature,
  };
}

/** Settings of the issuer. */
export interface IssuerOptions {
  readonly daemon: DaemonId;
  readonly incarnation: Incarnation;
  /** Milliseconds for which a key can be used. */
  readonly lifetime: number;
  /** Signs a text with a secret of this incarnation, as base64url. Nobody can guess another caller's key. */
  readonly sign: (text: string) => string;
}

interface Mark {
  readonly at: number;
  readonly counter: number;
}

/**
 * Issues keys that only this incarnation may start. A key is expired when its counter is not above the expiry mark,
 * so expired keys need no memory.
 */
export class KeyIssuer {
  private counter = 0;

  private expiryMark = 0;

  private marks: Mark[] = [];

  public constructor(
    private readonly clock: Clock,
    private readonly options: IssuerOptions,
  ) {}

  /** Issues a key. */
  public issue(): OperationKey {
    this.counter += 1;
    this.addMark();
    const { daemon, incarnation, sign } = this.options;
    const text = `issued.${daemon}.${incarnation}.${this.counter.toString(radix)}`;
    return brandAs<OperationKey>(`${text}.${sign(text)}`);
  }

  /** Whether this incarnation issued the key. */
  public hasIssued(key: OperationKey): boolean {
    const parts = parseIssuedKey(key);
    const { daemon, incarnation, sign } = this.options;
    if (parts?.daemon !== daemon || parts.incarnation !== incarnation) return false;
    return sign(key.slice(0, key.lastIndexOf('.'))) === parts.signature;
  }

  /** Whether an own key may no longer start. */
  public isExpired(key: OperationKey): boolean {
    this.moveExpiryMark();
    return (parseIssuedKey(key)?.counter ?? 0) <= this.expiryMark;
  }

  private addMark(): void {
    const at = this.clock.elapsed();
    const last = this.marks[this.marks.length - 1];
    if (last !== undefined && at - last.at < markInterval) {
      this.marks[this.marks.length - 1] = { at: last.at, counter: this.counter };
    } else this.marks.push({ at, counter: this.counter });
  }

  private moveExpiryMark(): void {
    const limit = this.clock.elapsed() - this.options.lifetime - markInterval;
    const expired = this.marks.filter(({ at }) => at <= limit);
    const last = expired[expired.length - 1];
    if (last === undefined) return;
    this.expiryMark = Math.max(this.expiryMark, last.counter);
    this.marks = this.marks.filter(({ at }) => at > limit);
  }
}
