import { Option } from 'clipanion';
import { duration } from '../common/settings/index.js';
import { exitCodes } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';
import { OperatorCommand } from './OperatorCommand.js';

/** Base class of the commands that can repeat their output until they are interrupted. */
export abstract class WatchCommand extends OperatorCommand {
  public watch = Option.Boolean('--watch', false, { description: 'repeat until interrupted' });

  public interval = Option.String('--interval', '2 s', {
    description: 'pause between repetitions',
  });

  protected override async run(): Promise<ExitCode> {
    const interval = WatchCommand.parse('--interval', duration({ min: 100 }), this.interval);
    if (!this.watch) return this.show();
    let isInterrupted = false;
    process.once('SIGINT', () => {
      isInterrupted = true;
    });
    while (!isInterrupted) {
      await this.showOrWarn();
      await new Promise<void>((resolve) => {
        this.context.clock.after(interval, resolve);
      });
    }
    return exitCodes.done;
  }

  /** Writes the current state once. */
  protected abstract show(): Promise<ExitCode>;

  /** Writes an error to stderr and goes on: a daemon that is unreachable for a while must not end the watch. */
  private async showOrWarn(): Promise<void> {
    try {
      if (!this.json) this.context.stdout.write(`-- ${this.context.clock.now().toISOString()}\n`);
      await this.show();
    } catch (error) {
      this.writeToStderr(error instanceof Error ? error.message : String(error));
    }
  }
}
