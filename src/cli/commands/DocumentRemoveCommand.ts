import { Command, Option } from 'clipanion';
import { ChangeCommand } from '../ChangeCommand.js';
import type { DocumentKind } from '../documentSchemas.js';
import { removeDocument } from '../edits.js';
import type { ExitCode } from '../exitCodes.js';

/** Removes a service, a route, an account or a preset. */
export class DocumentRemoveCommand extends ChangeCommand {
  public static override paths = ['service', 'route', 'account', 'preset'].map((kind) => [
    kind,
    'remove',
  ]);

  public static override usage = Command.Usage({
    category: 'Configuration',
    description: 'remove a service, a route, an account or a preset',
    examples: [['Remove a route', '$0 route remove lots']],
  });

  public name = Option.String();

  protected override async run(): Promise<ExitCode> {
    const kind = this.path[0] as DocumentKind;
    const summary = `${kind} remove ${this.name}`;
    return this.change({ summary, edit: removeDocument(kind, this.name) });
  }
}
