import { isLeft } from 'fp-ts/lib/Either.js';
import { InvalidInputError } from '../common/base/index.js';
import {
  SettingsReader,
  address,
  list,
  optional,
  single,
  text,
  withDefault,
} from '../common/settings/index.js';
import type { Connections } from './Types.js';

const reader = new SettingsReader({
  operator: single({
    store: withDefault(list(address()), []),
    daemon: withDefault(list(address()), []),
    author: optional(text()),
    adapter: withDefault(text(), 'etcd'),
  }),
});

/** Command-line options that override the settings file. */
export interface ConnectionOptions {
  readonly store: string | undefined;
  readonly daemon: string | undefined;
  readonly author: string | undefined;
}

function readAddresses(option: string, value: string): readonly string[] {
  const kind = list(address());
  const result = kind.parse(value);
  if (!isLeft(result)) return result.right;
  const problem = `${option}: ${result.left}; allowed: ${kind.allowed}`;
  throw new InvalidInputError([problem], { step: 'cli.options' });
}

/**
 * Reads the settings file of an operator; throws `InvalidInputError`.
 *
 * @param userName Author if neither the options nor the file give one.
 */
export function readConnections(
  file: { readonly name: string; readonly content: string },
  options: ConnectionOptions,
  userName: string,
): Connections {
  const result = reader.read(file.name, file.content);
  if (isLeft(result)) throw result.left;
  const { operator } = result.right;
  return {
    adapter: operator.adapter,
    store: options.store === undefined ? operator.store : readAddresses('--store', options.store),
    daemons:
      options.daemon === undefined ? operator.daemon : readAddresses('--daemon', options.daemon),
    author: options.author ?? operator.author ?? userName,
  };
}
