import { userInfo } from 'node:os';
import { Command, Option } from 'clipanion';
import { isLeft } from 'fp-ts/lib/Either.js';
import { FleetError, InvalidInputError, StoreError } from '../common/base/index.js';
import type { ConfigurationEditor } from '../common/configuration/Types.js';
import type { Store } from '../common/services/Types.js';
import { badSettingsExitCode } from '../common/settings/index.js';
import type { ValueKind } from '../common/settings/index.js';
import { readConnections } from './connections.js';
import { DaemonClient } from './DaemonClient.js';
import type { EditRefusal } from './edits.js';
import { exitCodes } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';
import { BadFileError } from './BadFileError.js';
import type { Connections, OperatorContext } from './Types.js';

/** Exit codes of invalid input by the step that found it. */
const inputExitCodes: Readonly<Record<string, ExitCode>> = {
  'cli.options': exitCodes.usage,
  'configuration.readRevision': exitCodes.notFound,
};

/** Base class of all commands: connection options, output, and exit codes of errors. */
export abstract class OperatorCommand extends Command<OperatorContext> {
  public settings = Option.String('--settings', {
    description: 'INI file with section [operator]: store, daemon, author, adapter',
    env: 'LIMPETTRACK_SETTINGS',
  });

  public store = Option.String('--store', { description: 'addresses of the store, host:port,...' });

  public daemon = Option.String('--daemon', {
    description: 'admin addresses of daemons, host:port,...; the first that answers is asked',
  });

  public author = Option.String('--author', {
    description: 'name in the history; default: settings, then the user name',
  });

  public json = Option.Boolean('--json', false, { description: 'write JSON' });

  private openedStore: Store | undefined;

  public async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      return this.handleError(error);
    } finally {
      this.openedStore?.dispose();
    }
  }

  /** Runs the command and returns its exit code. */
  protected abstract run(): Promise<ExitCode>;

  /** Writes a value as JSON or as lines of text. */
  protected write(value: unknown, lines: readonly string[]): void {
    const output = this.json ? JSON.stringify(value, undefined, 2) : lines.join('\n');
    this.context.stdout.write(`${output}\n`);
  }

  /** Writes a line to the standard error stream. */
  protected writeToStderr(message: string): void {
    this.context.stderr.write(`${message}\n`);
  }

  /** Writes the reason of a refusal to the standard error stream and returns its exit code. */
  protected refuse({ exitCode, message }: EditRefusal): ExitCode {
    this.writeToStderr(message);
    return exitCode;
  }

  protected async connections(): Promise<Connections> {
    const content = this.settings === undefined ? '' : await this.readFile(this.settings);
    const file = { name: this.settings ?? '', content };
    try {
      return readConnections(file, this, userInfo().username);
    } catch (error) {
      const isInFile = error instanceof InvalidInputError && error.step === 'settings.read';
      throw isInFile ? new BadFileError(error.problems) : error;
    }
  }

  protected async daemonClient(): Promise<DaemonClient> {
    return new DaemonClient((await this.connections()).daemons);
  }

  /** Opens the store once; it is closed when the command ends. */
  protected async openStore(): Promise<Store> {
    if (this.openedStore !== undefined) return this.openedStore;
    const connections = await this.connections();
    if (connections.store.length === 0) {
      throw new InvalidInputError(['no store given; use --store host:port or the settings file'], {
        step: 'cli.options',
      });
    }
    this.openedStore = this.context.openStore(connections);
    return this.openedStore;
  }

  protected async openEditor(): Promise<ConfigurationEditor> {
    return this.context.createEditor(await this.openStore());
  }

  protected async readFile(file: string): Promise<string> {
    try {
      return await this.context.readFile(file);
    } catch (error) {
      throw new BadFileError([`${file}: ${error instanceof Error ? error.message : ''}`]);
    }
  }

  /** Parses the value of an option; throws `InvalidInputError`. */
  protected static parse<Value>(option: string, kind: ValueKind<Value>, value: string): Value {
    const result = kind.parse(value);
    if (!isLeft(result)) return result.right;
    const problem = `${option}: "${value}": ${result.left}; allowed: ${kind.allowed}`;
    throw new InvalidInputError([problem], { step: 'cli.options' });
  }

  private handleError(error: unknown): number {
    if (error instanceof BadFileError) {
      this.writeToStderr(error.problems.join('\n'));
      return badSettingsExitCode;
    }
    if (error instanceof InvalidInputError) {
      this.writeToStderr(error.problems.join('\n'));
      return inputExitCodes[error.step] ?? exitCodes.invalid;
    }
    if (error instanceof StoreError) {
      const isNotApplied = error.outcome === 'not-applied';
      this.writeToStderr(
        isNotApplied
          ? `store: ${error.message}; nothing was changed`
          : `store: ${error.message}; it cannot be known yet whether the change is in`,
      );
      return isNotApplied ? exitCodes.unreachable : exitCodes.unknown;
    }
    if (error instanceof FleetError && error.step.startsWith('cli.daemon')) {
      this.writeToStderr(error.message);
      return exitCodes.unreachable;
    }
    this.writeToStderr(error instanceof Error ? (error.stack ?? error.message) : String(error));
    return exitCodes.internalError;
  }
}
