import { createConsola, LogLevels, type ConsolaReporter } from 'consola';
import type { LogLevel, LogLine, LogSink } from '../../src/api/index.js';
import { logSinks } from '../../src/api/index.js';

const levels: Readonly<Record<LogLevel, number>> = {
  debug: LogLevels.debug,
  info: LogLevels.info,
  warn: LogLevels.warn,
  error: LogLevels.error,
};

const jsonReporter: ConsolaReporter = {
  log: ({ date, type, args }) => {
    const [, line] = args as [string, LogLine];
    const { kind, message, fields } = line;
    process.stdout.write(
      `${JSON.stringify({ time: date, level: type, kind, message, ...fields })}\n`,
    );
  },
};

const textReporter: ConsolaReporter = {
  log: ({ date, type, args }) => {
    const [, line] = args as [string, LogLine];
    const fields = Object.entries(line.fields)
      .filter(([, value]) => value !== undefined)
      .map(([name, value]) => `${name}=${value}`)
      .join(' ');
    const time = date.toISOString().slice(11, 23);
    process.stdout.write(`${time} ${type.padEnd(5)} ${line.kind} ${line.message} ${fields}\n`);
  },
};

/** Writes log lines through consola: text on a terminal, JSON otherwise. */
export class ConsolaSink implements LogSink {
  private readonly consola;

  public constructor(level: LogLevel, isTerminal = process.stdout.isTTY) {
    const reporter = isTerminal ? textReporter : jsonReporter;
    this.consola = createConsola({ level: levels[level], reporters: [reporter], throttle: 0 });
  }

  public write(line: LogLine): void {
    // consola unpacks an object passed as the first argument, so the message is passed first.
    this.consola[line.level](line.message, line);
  }
}

logSinks.register('consola', (level) => new ConsolaSink(level));
