/** Kinds of values in INI files. */
import { isLeft, left, right } from 'fp-ts/lib/Either.js';
import type { Either } from 'fp-ts/lib/Either.js';
import type { ValueKind } from './Types.js';

/** Range of allowed values, inclusive, in the base unit of the kind. */
export interface Bounds {
  readonly min?: number;
  readonly max?: number;
}

/** Non-negative number as JSON writes it; very large and very small ones have an exponent. */
const amountSource = String.raw`\d+(?:\.\d+)?(?:[eE][+-]?\d+)?`;
const amountPattern = new RegExp(`^${amountSource}$`);
const quantityPattern = new RegExp(`^(?<amount>${amountSource})\\s*(?<unit>[^\\d\\s].*)?$`);

function describeUnits(units: Readonly<Record<string, number>>): string {
  return Object.keys(units).join(', ');
}

/** Largest unit in which a value is a whole number; the smallest if there is none. */
function largestUnit(value: number, units: Readonly<Record<string, number>>): [string, number] {
  const ordered = Object.entries(units).sort(([, one], [, other]) => other - one);
  const smallest = ordered.at(-1) ?? ['', 1];
  if (value === 0) return smallest;
  return ordered.find(([, factor]) => Number.isInteger(value / factor)) ?? smallest;
}

function isWithin(
  value: number,
  { min: least = 0, max: greatest = Number.MAX_VALUE }: Bounds,
): boolean {
  return value >= least && value <= greatest;
}

/** Number with a unit. The parsed value is in the unit whose factor is 1. */
export function quantity(
  what: string,
  units: Readonly<Record<string, number>>,
  bounds: Bounds = {},
): ValueKind<number> {
  const parse = (input: string): Either<string, number> => {
    const { amount, unit } = quantityPattern.exec(input)?.groups ?? {};
    if (amount === undefined) return left('it is not a number with a unit');
    if (unit === undefined) return left('the unit is missing');
    const factor = Object.hasOwn(units, unit) ? units[unit] : undefined;
    if (factor === undefined) return left(`the unit "${unit}" is wrong`);
    const value = Number(amount) * factor;
    return isWithin(value, bounds) ? right(value) : left('it is out of bounds');
  };
  const format = (value: number): string => {
    const [unit, factor] = largestUnit(value, units);
    // Rounding to 12 digits removes floating-point errors such as that of 7 * 0.01.
    return `${Number((value / factor).toPrecision(12))} ${unit}`;
  };
  return { allowed: `${what} (units: ${describeUnits(units)})`, parse, format };
}

/** Duration in milliseconds: `250 ms`, `3 s`, `5 min`, `24 h`. */
export function duration(bounds: Bounds = {}): ValueKind<number> {
  const units = { ms: 1, s: 1_000, min: 60_000, h: 3_600_000 };
  return quantity('a duration such as 250 ms or 3 s', units, bounds);
}

/** Bandwidth in bytes per second: `30 Mbit/s`, `64 KB/s`. */
export function bandwidth(bounds: Bounds = {}): ValueKind<number> {
  const units = { 'kbit/s': 125, 'Mbit/s': 125_000, 'B/s': 1, 'KB/s': 1_024, 'MB/s': 1_048_576 };
  return quantity('a bandwidth such as 30 Mbit/s or 64 KB/s', units, bounds);
}

/** Size in bytes: `64 KB`. */
export function size(bounds: Bounds = {}): ValueKind<number> {
  const units = { B: 1, KB: 1_024, MB: 1_048_576 };
  return quantity('a size such as 64 KB', units, bounds);
}

/** Whole number with the counted unit: `24 slots`. */
export function count(unit: string, bounds: Bounds = {}): ValueKind<number> {
  const kind = quantity(`a whole number such as 24 ${unit}`, { [unit]: 1 }, bounds);
  return {
    ...kind,
    parse: (input) => {
      const result = kind.parse(input);
      if (isLeft(result) || Number.isInteger(result.right)) return result;
      return left('it is not a whole number');
    },
  };
}

/** Requests per second over the whole fleet: `200 requests/s`. */
export function rate(bounds: Bounds = {}): ValueKind<number> {
  return quantity('a rate such as 200 requests/s', { 'requests/s': 1 }, bounds);
}

/** Share in [0, greatest], written as a percentage: `10 %` is 0.1. */
export function share(greatest = 1): ValueKind<number> {
  return quantity(`a share of at most ${greatest * 100} %`, { '%': 0.01 }, { max: greatest });
}

/** Whole number without a unit. */
export function integer(bounds: Bounds = {}): ValueKind<number> {
  return {
    allowed: 'a whole number',
    format: String,
    parse: (input) => {
      if (!/^\d+$/.test(input)) return left('it is not a whole number');
      return isWithin(Number(input), bounds) ? right(Number(input)) : left('it is out of bounds');
    },
  };
}

/** Number without a unit that may have a fraction. */
export function decimal(bounds: Bounds = {}): ValueKind<number> {
  return {
    allowed: 'a number such as 56 or 25.3',
    format: String,
    parse: (input) => {
      if (!amountPattern.test(input)) return left('it is not a number');
      return isWithin(Number(input), bounds) ? right(Number(input)) : left('it is out of bounds');
    },
  };
}

/** Non-empty text that matches a pattern. */
export function text(pattern = /^.+$/, allowed = 'text'): ValueKind<string> {
  return {
    allowed,
    format: String,
    parse: (value) => (pattern.test(value) ? right(value) : left('its form is wrong')),
  };
}

/** Name of a service, route, account, preset or data centre. */
export function name(): ValueKind<string> {
  return text(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    'a name of at most 63 lower-case letters, digits, dots, underscores and hyphens',
  );
}

/** `yes` or `no`. */
export function flag(): ValueKind<boolean> {
  return {
    allowed: 'yes or no',
    format: (value) => (value ? 'yes' : 'no'),
    parse: (value) =>
      value === 'yes' || value === 'no' ? right(value === 'yes') : left('it is neither'),
  };
}

/** One of several words. */
export function choice<Word extends string>(...words: readonly Word[]): ValueKind<Word> {
  return {
    allowed: `one of ${words.join(', ')}`,
    format: String,
    parse: (value) => {
      const found = words.find((word) => word === value);
      return found === undefined ? left('it is none of them') : right(found);
    },
  };
}

const maxPort = 65_535;

/** `host:port` with a host name, an IPv4 address or an IPv6 address in brackets. */
export function address(): ValueKind<string> {
  return {
    allowed: 'an address such as 127.0.0.1:8080',
    format: String,
    parse: (value) => {
      const match = /^(?:[A-Za-z0-9.-]+|\[[0-9A-Fa-f:.]+\]):(?<port>\d{1,5})$/.exec(value);
      if (match === null) return left('it is not host:port');
      return Number(match.groups?.port) <= maxPort ? right(value) : left('the port is too large');
    },
  };
}

/** Values separated by commas. */
export function list<Value>(kind: ValueKind<Value>): ValueKind<readonly Value[]> {
  return {
    allowed: `a list separated by commas, each ${kind.allowed}`,
    format: (values) => values.map(kind.format).join(', '),
    parse: (value) => {
      const values: Value[] = [];
      for (const part of value.split(',').map((item) => item.trim())) {
        const result = kind.parse(part);
        if (isLeft(result)) return left(`"${part}": ${result.left}`);
        values.push(result.right);
      }
      return right(values);
    },
  };
}
