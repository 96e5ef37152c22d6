#!/usr/bin/env node
import { readFile } from 'node:fs/promises';
import { Cli } from 'clipanion';
import { commands } from './commands/index.js';
import { createContext } from './createContext.js';
import { exitCodes } from './exitCodes.js';

const cli = new Cli({ binaryName: 'limpettrack', binaryLabel: 'limpettrack operators' });
commands.forEach((command) => cli.register(command));

async function main(): Promise<number> {
  const context = createContext((file) => readFile(file, 'utf8'));
  try {
    const command = cli.process(process.argv.slice(2), context);
    return await cli.run(command, context);
  } catch (error) {
    process.stderr.write(cli.error(error));
    return exitCodes.usage;
  }
}

process.exitCode = await main();
