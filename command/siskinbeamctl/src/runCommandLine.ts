// The command line of siskinbeamctl: defines the commands and maps their results to exit codes.
import { Command, CommanderError, InvalidArgumentError } from 'commander'
import { formatCodedError } from '@siskinbeam/result-codes/codedError'
import { nameEnvironmentVariable } from '@siskinbeam/settings/readSettings'
import { addressSetting } from '@siskinbeam/settings/settingChecks'
import type { CommandContext, CommandResult, CommandDependencies } from './commandContext.js'
import { readCommandSettings, settingDefinitions } from './commandSettings.js'
import { approveBundleFile, checkBundleFile, createKey, diffBundleReferences, signBundleFile } from './bundleFileCommands.js'
import { explainRequest } from './explainRequest.js'
import { dumpHost, showHosts } from './hostCommands.js'
import { rollOutSubmittedBundle, showHead, showHistory, submitBundle } from './rolloutCommands.js'

/** Exit codes of the command. */
export enum ExitCode {
  Success = 0,
  Failure = 1,
  Usage = 2
}

const maximumHistoryLimit = 1_000

type ExecuteCommand = (run: (context: CommandContext) => Promise<CommandResult>) => Promise<void>

/** Runs one command with the arguments after the program name. Prints errors with their result codes. */
export async function runCommandLine (argumentList: string[], dependencies: CommandDependencies): Promise<ExitCode> {
  const program = createProgram(dependencies)
  const context: CommandContext = {
    ...dependencies,
    readSettings: (...required) => readCommandSettings({ required, flags: program.opts(), environment: dependencies.environment })
  }
  const errors: CommandResult = []
  const execute: ExecuteCommand = async run => { errors.push(...await run(context)) }
  addBundleFileCommands(program, execute)
  addPlatformCommands(program, execute)
  addLogCommands(program, execute)
  try {
    await program.parseAsync(argumentList, { from: 'user' })
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error
    return error.exitCode === 0 ? ExitCode.Success : ExitCode.Usage
  }
  errors.map(formatCodedError).forEach(dependencies.writeError)
  return errors.length === 0 ? ExitCode.Success : ExitCode.Failure
}

function createProgram ({ writeOutput, writeError }: CommandDependencies): Command {
  const program = new Command('siskinbeamctl')
    .description('Manages signed siskinbeam bundles and shows which version is active.')
    .exitOverride()
    .configureOutput({ writeOut: text => writeOutput(text.trimEnd()), writeErr: text => writeError(text.trimEnd()) })
  Object.values(settingDefinitions).forEach(({ flag, description }) =>
    program.option(`--${flag} <value>`, `${description} (${nameEnvironmentVariable(flag)})`))
  program.command('key').description('manage signing keys')
  program.command('bundle').description('create, sign, store and roll out bundles')
  return program
}

function findGroup (program: Command, name: string): Command {
  return program.commands.find(command => command.name() === name) ?? program
}

function addBundleFileCommands (program: Command, execute: ExecuteCommand): void {
  findGroup(program, 'key').command('create').description('print a new Ed25519 key pair; the private key is not stored')
    .action(() => execute(createKey))
  const bundle = findGroup(program, 'bundle')
  bundle.command('check').argument('<file>', 'body or signed document').description('validate a bundle and list all errors')
    .action((file: string) => execute(context => checkBundleFile(context, file)))
  bundle.command('sign').argument('<file>', 'body').requiredOption('--output <file>', 'file for the signed document').description('sign a bundle as its author')
    .action((file: string, { output }: { output: string }) => execute(context => signBundleFile(context, file, output)))
  bundle.command('approve').argument('<file>', 'signed document').requiredOption('--output <file>', 'file for the approved document').description('sign a bundle as its approver')
    .action((file: string, { output }: { output: string }) => execute(context => approveBundleFile(context, file, output)))
  bundle.command('diff').argument('<before>', 'file, digest or version').argument('<after>', 'file, digest or version').description('show the differences between two bundles by key path')
    .action((before: string, after: string) => execute(context => diffBundleReferences(context, before, after)))
}

function addPlatformCommands (program: Command, execute: ExecuteCommand): void {
  const bundle = findGroup(program, 'bundle')
  bundle.command('submit').argument('<file>', 'approved document').description('store an approved bundle')
    .action((file: string) => execute(context => submitBundle(context, file)))
  bundle.command('rollout').argument('<bundle>', 'file or digest of a submitted bundle').description('make a submitted bundle the active one')
    .action((reference: string) => execute(context => rollOutSubmittedBundle(context, reference)))
  bundle.command('status').description('show the rolled-out bundle and its signers')
    .action(() => execute(showHead))
  bundle.command('history').option('--limit <count>', 'maximum number of rollouts', parseLimit, 20).description('list the most recent rollouts')
    .action(({ limit }: { limit: number }) => execute(context => showHistory(context, limit)))
  program.command('status').option('--host <address...>', 'peer addresses to query instead of the host list', parseAddresses).description('show the active signed version on each entry host')
    .action(({ host = [] }: { host?: string[] }) => execute(context => showHosts(context, host)))
  program.command('dump').requiredOption('--host <address>', 'peer address of an entry host', parseAddress).description('print the state of an entry host as JSON')
    .action(({ host }: { host: string }) => execute(context => dumpHost(context, host)))
}

function addLogCommands (program: Command, execute: ExecuteCommand): void {
  program.command('explain').argument('<file...>', 'log files of the hosts').requiredOption('--request <id>', 'id of the request').description('print the log lines that explain the outcome of a request')
    .action((files: string[], { request }: { request: string }) => execute(context => explainRequest(context, request, files)))
}

function parseLimit (text: string): number {
  if (!/^\d+$/.test(text) || Number(text) < 1 || Number(text) > maximumHistoryLimit) throw new InvalidArgumentError(`must be an integer from 1 to ${maximumHistoryLimit}`)
  return Number(text)
}

function parseAddress (text: string): string {
  if (!addressSetting.safeParse(text).success) throw new InvalidArgumentError('must be an IP address and port, for example 127.0.0.1:8080')
  return text
}

function parseAddresses (text: string, earlier: string[] = []): string[] {
  return [...earlier, parseAddress(text)]
}
