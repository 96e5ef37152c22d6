import { Option } from 'clipanion';
import { duration } from '../common/settings/index.js';
import { exitCodes } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';
import { OperatorCommand } from './OperatorCommand.js';

/** Base of commands that can repeat themselves until they are interrupted. */
export abstract class WatchCommand extends OperatorCommand {
  public watch = Option.Boolean('--watch', false, { description: 'repeat until interrupted' });

  public interval = Option.String('--interval', '2 s', {
    description: 'pause between repetitions',
  });

  protected override async run(): Promise<ExitCode> {
    const interval = WatchCommand.parse('--interval', duration({ least: 100 }), this.interval);
    if (!this.watch) return this.show();
    let isInterrupted = false;
    process.once('SIGINT', () => {
      isInterrupted = true;
    });
    while (!isInterrupted) {
      await this.repeat();
      await new Promise<void>((resolve) => {
        this.context.clock.after(interval, resolve);
      });
    }
    return exitCodes.done;
  }

  /** Writes the present state once. */
  protected abstract show(): Promise<ExitCode>;

  /** A daemon that does not answer for a while must not end the watch. */
  private async repeat(): Promise<void> {
    try {
      if (!this.json) this.context.stdout.write(`-- ${this.context.clock.now().toISOString()}\n`);
      await this.show();
    } catch (error) {
      this.warn(error instanceof Error ? error.message : String(error));
    }
  }
}
