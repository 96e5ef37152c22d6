import { Command, Option } from 'clipanion';
import { isLeft, left, right } from 'fp-ts/lib/Either.js';
import type { Either } from 'fp-ts/lib/Either.js';
import { InvalidInputError } from '../../common/base/index.js';
import { ChangeCommand } from '../ChangeCommand.js';
import { documentSchemas, formatDocument, parseDocument } from '../documentSchemas.js';
import type { AnyDocument, DocumentKind } from '../documentSchemas.js';
import { changeDocument, createDocument } from '../edits.js';
import type { EditRefusal } from '../edits.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';

function splitPairs(pairs: readonly string[]): ReadonlyMap<string, string> {
  const entries = pairs.map((pair): [string, string] => {
    const position = pair.indexOf('=');
    if (position < 1) {
      const problem = `"${pair}" is wrong; allowed: key=value, such as floor="24 slots"`;
      throw new InvalidInputError([problem], { step: 'cli.options' });
    }
    return [pair.slice(0, position).trim(), pair.slice(position + 1).trim()];
  });
  return new Map(entries);
}

/** Creates or changes a service, a route or an account. */
export class DocumentEditCommand extends ChangeCommand {
  public static override paths = (['service', 'route', 'account'] as const).flatMap((kind) => [
    [kind, 'create'],
    [kind, 'change'],
  ]);

  public static override usage = Command.Usage({
    category: 'Configuration',
    description: 'create or change a service, a route or an account',
    details: `
      The keys are those of the INI files. A change sets the given keys and keeps the others; an empty value removes
      a key that can be absent.
    `,
    examples: [
      ['Raise a floor', '$0 service change pujas floor="30 slots"'],
      ['Create an account', '$0 account create bidder-7 rate="20 requests/s"'],
    ],
  });

  public name = Option.String();

  public pairs = Option.Rest();

  protected override async run(): Promise<ExitCode> {
    const [noun, verb] = this.path;
    const kind = noun as DocumentKind;
    const values = splitPairs(this.pairs);
    const summary = `${kind} ${verb} ${this.name} ${this.pairs.join(' ')}`.trim();
    if (verb === 'change') {
      const update = (current: AnyDocument): Either<EditRefusal, AnyDocument> =>
        this.read(kind, new Map([...formatDocument(current, documentSchemas[kind]), ...values]));
      return this.change({ summary, edit: changeDocument(kind, this.name, update) });
    }
    const document = this.read(kind, values);
    if (isLeft(document)) return this.refuse(document.left);
    return this.change({ summary, edit: createDocument(kind, document.right) });
  }

  private read(
    kind: DocumentKind,
    values: ReadonlyMap<string, string>,
  ): Either<EditRefusal, AnyDocument> {
    const problems: string[] = [];
    const given = new Map([...values].filter(([, value]) => value !== ''));
    const document = parseDocument(kind, this.name, given, problems);
    return problems.length === 0
      ? right(document)
      : left({ exitCode: exitCodes.invalid, message: problems.join('\n') });
  }
}
