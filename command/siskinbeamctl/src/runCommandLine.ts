// The command line of operators: which commands there are, and how their results become exit codes.
import { Command, CommanderError, InvalidArgumentError } from 'commander'
import { formatCodedError } from '@siskinbeam/result-codes/codedError'
import { nameEnvironmentVariable } from '@siskinbeam/settings/readSettings'
import { addressSetting } from '@siskinbeam/settings/settingChecks'
import type { CommandContext, CommandResult, CommandSurroundings } from './commandContext.js'
import { readCommandSettings, settingDefinitions } from './commandSettings.js'
import { approveBundleFile, checkBundleFile, createKey, diffBundleReferences, signBundleFile } from './draftCommands.js'
import { explainRequest } from './explainRequest.js'
import { dumpHost, showHosts } from './hostCommands.js'
import { rollOutSubmitted, showHead, showHistory, submitBundle } from './rolloutCommands.js'

/** Exit codes of the command. */
export enum ExitCode {
  Success = 0,
  Failure = 1,
  Usage = 2
}

const mostHistory = 1_000

type Start = (run: (context: CommandContext) => Promise<CommandResult>) => Promise<void>

/** Runs one command with the arguments after the program's name. Prints errors with their result codes. */
export async function runCommandLine (argumentList: string[], surroundings: CommandSurroundings): Promise<ExitCode> {
  const program = createProgram(surroundings)
  const context: CommandContext = {
    ...surroundings,
    settings: (...required) => readCommandSettings({ required, flags: program.opts(), environment: surroundings.environment })
  }
  const errors: CommandResult = []
  const start: Start = async run => { errors.push(...await run(context)) }
  addDraftCommands(program, start)
  addPlatformCommands(program, start)
  addLogCommands(program, start)
  try {
    await program.parseAsync(argumentList, { from: 'user' })
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error
    return error.exitCode === 0 ? ExitCode.Success : ExitCode.Usage
  }
  errors.map(formatCodedError).forEach(surroundings.writeError)
  return errors.length === 0 ? ExitCode.Success : ExitCode.Failure
}

function createProgram ({ writeOutput, writeError }: CommandSurroundings): Command {
  const program = new Command('siskinbeamctl')
    .description('Controls siskinbeam by signed bundles and shows which version is in force.')
    .exitOverride()
    .configureOutput({ writeOut: text => writeOutput(text.trimEnd()), writeErr: text => writeError(text.trimEnd()) })
  Object.values(settingDefinitions).forEach(({ flag, description }) =>
    program.option(`--${flag} <value>`, `${description} (${nameEnvironmentVariable(flag)})`))
  program.command('key').description('signing keys')
  program.command('bundle').description('bundles from the draft to the rollout')
  return program
}

function findGroup (program: Command, name: string): Command {
  return program.commands.find(command => command.name() === name) ?? program
}

function addDraftCommands (program: Command, start: Start): void {
  findGroup(program, 'key').command('create').description('print a new Ed25519 key pair; the private key is stored nowhere')
    .action(() => start(createKey))
  const bundle = findGroup(program, 'bundle')
  bundle.command('check').argument('<file>', 'body or signed document').description('list everything that is wrong with a bundle')
    .action((file: string) => start(context => checkBundleFile(context, file)))
  bundle.command('sign').argument('<file>', 'body').requiredOption('--output <file>', 'file for the signed document').description('sign a bundle as its author')
    .action((file: string, { output }: { output: string }) => start(context => signBundleFile(context, file, output)))
  bundle.command('approve').argument('<file>', 'signed document').requiredOption('--output <file>', 'file for the approved document').description('sign a bundle as its approver')
    .action((file: string, { output }: { output: string }) => start(context => approveBundleFile(context, file, output)))
  bundle.command('diff').argument('<before>', 'file, digest or version').argument('<after>', 'file, digest or version').description('show the differences of two bundles by key path')
    .action((before: string, after: string) => start(context => diffBundleReferences(context, before, after)))
}

function addPlatformCommands (program: Command, start: Start): void {
  const bundle = findGroup(program, 'bundle')
  bundle.command('submit').argument('<file>', 'approved document').description('store an approved bundle')
    .action((file: string) => start(context => submitBundle(context, file)))
  bundle.command('rollout').argument('<bundle>', 'file or digest of a submitted bundle').description('put a submitted bundle in force')
    .action((reference: string) => start(context => rollOutSubmitted(context, reference)))
  bundle.command('status').description('show the bundle that is rolled out and who signed it')
    .action(() => start(showHead))
  bundle.command('history').option('--limit <count>', 'how many rollouts', parseLimit, 20).description('list the last rollouts')
    .action(({ limit }: { limit: number }) => start(context => showHistory(context, limit)))
  program.command('status').option('--host <address...>', 'peer addresses to ask instead of the host list', parseAddresses).description('show the signed version in force on each entry host')
    .action(({ host = [] }: { host?: string[] }) => start(context => showHosts(context, host)))
  program.command('dump').requiredOption('--host <address>', 'peer address of an entry host', parseAddress).description('print the state of an entry host as JSON')
    .action(({ host }: { host: string }) => start(context => dumpHost(context, host)))
}

function addLogCommands (program: Command, start: Start): void {
  program.command('explain').argument('<file...>', 'log files of the hosts').requiredOption('--request <id>', 'id of the request').description('print what became of a request and why')
    .action((files: string[], { request }: { request: string }) => start(context => explainRequest(context, request, files)))
}

function parseLimit (text: string): number {
  if (!/^\d+$/.test(text) || Number(text) < 1 || Number(text) > mostHistory) throw new InvalidArgumentError(`a whole number from 1 to ${mostHistory}`)
  return Number(text)
}

function parseAddress (text: string): string {
  if (!addressSetting.safeParse(text).success) throw new InvalidArgumentError('IP number and port, for example 127.0.0.1:8080')
  return text
}

function parseAddresses (text: string, earlier: string[] = []): string[] {
  return [...earlier, parseAddress(text)]
}
