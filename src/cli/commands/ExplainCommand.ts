import { Command, Option } from 'clipanion';
import { stateCatalogue } from '../../common/ejection/StateCatalogue.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { OperatorCommand } from '../OperatorCommand.js';

/** Explains a state of a target and how to leave it. */
export class ExplainCommand extends OperatorCommand {
  public static override paths = [['explain']];

  public static override usage = Command.Usage({
    category: 'Targets',
    description: 'explain a state of a target and how to reverse it',
    details: 'Without a state, all are explained. No daemon is asked.',
    examples: [['What does suspect mean', '$0 explain suspect']],
  });

  public state = Option.String({ required: false });

  protected override async run(): Promise<ExitCode> {
    const found = stateCatalogue.filter(({ state }) => state === (this.state ?? state));
    if (found.length === 0) {
      const known = stateCatalogue.map(({ state }) => state).join(', ');
      const message = `there is no state ${this.state}; known: ${known}`;
      return this.refuse({ exitCode: exitCodes.notFound, message });
    }
    const lines = found.flatMap(({ state, meaning, entered, left, reversal, traffic, next }) => [
      `${state}: ${meaning}`,
      `  traffic: ${traffic}`,
      `  entered: ${entered}`,
      `  left:    ${left}`,
      `  undo:    ${reversal}`,
      `  next:    ${next.join(', ')}`,
    ]);
    this.write(found, lines);
    return exitCodes.done;
  }
}
