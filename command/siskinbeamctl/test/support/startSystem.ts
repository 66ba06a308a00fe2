// Starts the three platform stand-ins and entry hosts as processes, and runs the siskinbeamctl binary
// against them.
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'

const network = '127.201.1'
const binary = fileURLToPath(new URL('../../../bin/siskinbeamctl.js', import.meta.url))
const startTimeoutMilliseconds = 20_000
const maximumPolls = 200
const pollMilliseconds = 50

const runningProcesses = new Set<ChildProcess>()
process.on('exit', () => runningProcesses.forEach(child => child.kill('SIGKILL')))

export interface CommandRun {
  exitCode: number | null
  output: string
  errors: string
}

/** Runs the command with only the given environment and the PATH of this process. */
export async function runSiskinbeamctl (argumentList: string[], environment: Record<string, string>): Promise<CommandRun> {
  const child = spawn(process.execPath, [binary, ...argumentList], { stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, ...environment } })
  runningProcesses.add(child)
  const texts = { output: '', errors: '' }
  child.stdout.on('data', (chunk: Buffer) => { texts.output += chunk.toString() })
  child.stderr.on('data', (chunk: Buffer) => { texts.errors += chunk.toString() })
  const [exitCode] = await once(child, 'close') as [number | null]
  runningProcesses.delete(child)
  return { exitCode, ...texts }
}

/** Starts a process and returns the values of the line that it prints when it is ready. */
export async function startProcess (script: string, flags: Record<string, string>, environment: Record<string, string> = {}): Promise<Record<string, string>> {
  const argumentList = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, value])
  const child = spawn(process.execPath, [fileURLToPath(import.meta.resolve(script)), ...argumentList], { stdio: ['ignore', 'pipe', 'ignore'], env: { PATH: process.env.PATH, ...environment } })
  runningProcesses.add(child)
  child.once('exit', () => runningProcesses.delete(child))
  return await new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error(`${script} was not ready within ${startTimeoutMilliseconds} ms`)), startTimeoutMilliseconds)
    child.once('exit', code => reject(new Error(`${script} exited with ${code}`)))
    child.stdout.on('data', (chunk: Buffer) => {
      const line = /^ready (.*)$/m.exec(chunk.toString())?.[1]
      if (line === undefined) return
      clearTimeout(timer)
      resolve(Object.fromEntries(line.split(' ').map(part => part.split('=', 2) as [string, string])))
    })
  })
}

/** Kills every process that this module started. */
export async function stopProcesses (): Promise<void> {
  const children = [...runningProcesses]
  const exits = children.map(child => once(child, 'exit'))
  children.forEach(child => child.kill('SIGKILL'))
  await Promise.all(exits)
}

/** Starts the platform stand-ins; returns their addresses as environment variables. */
export async function startPlatform () {
  const flags = (octet: number) => ({ address: `${network}.${octet}:0`, 'control-address': `${network}.${octet}:0` })
  const [table, objects, hostList] = await Promise.all([
    startProcess('@siskinbeam/stand-in-platform/runTableService', flags(1)),
    startProcess('@siskinbeam/stand-in-platform/runObjectStore', flags(2)),
    startProcess('@siskinbeam/stand-in-platform/runHostList', { ...flags(3), 'lag-milliseconds': '0' })
  ])
  const environment = {
    SISKINBEAM_TABLE_ADDRESS: table.address as string,
    SISKINBEAM_OBJECT_STORE_ADDRESS: objects.address as string,
    SISKINBEAM_HOST_LIST_ADDRESS: hostList.address as string
  }
  return { environment, tableControl: table.control as string, hostListControl: hostList.control as string }
}

/** Starts the entry host with the given number, from 1; returns the values of its ready line. */
export function startEntryHost (number: number, environment: Record<string, string>): Promise<Record<string, string>> {
  return startProcess('@siskinbeam/entry-host/runEntryHost', {
    host: `entry-${number}`, 'data-centre': 'midland-east', 'guest-address': `${network}.${10 + number}:0`, 'peer-address': `${network}.${10 + number}:0`, seed: String(number)
  }, environment)
}

/** Posts JSON to a control address. Throws if the status is not 2xx. */
export async function postControl (address: string, path: string, body: unknown): Promise<void> {
  const response = await fetch(`http://${address}${path}`, { method: 'POST', body: JSON.stringify(body) })
  await response.text()
  if (!response.ok) throw new Error(`${address}${path} responded with status ${response.status}`)
}

/** Repeats a step until its result is accepted or `tries` are used up; returns the last result. */
export async function repeatUntil<Value> (step: () => Promise<Value>, accepts: (value: Value) => boolean, tries = maximumPolls): Promise<Value> {
  const value = await step()
  if (accepts(value) || tries === 1) return value
  await new Promise(resolve => setTimeout(resolve, pollMilliseconds))
  return repeatUntil(step, accepts, tries - 1)
}
