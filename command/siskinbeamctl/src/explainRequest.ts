// Tells the story of one request from the logs of all hosts: its own lines, and what its host believed at
// that time about configuration, store and the servers that it was sent to.
import { readDocumentFile, type CommandContext, type CommandResult } from './commandContext.js'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail } from '@siskinbeam/result-codes/codedError'

interface LogLine {
  text: string
  time: string
  fields: Map<string, string>
}

/** Events that change what a host believes. */
const beliefEvents = new Set(['configuration in force', 'source changed', 'source passed over', 'store lost', 'store regained', 'host leaving', 'settings reloaded'])

/** Prints the lines that explain a request, in the order of their times. */
export async function explainRequest (context: CommandContext, request: string, paths: string[]): Promise<CommandResult> {
  const files = await Promise.all(paths.map(path => readDocumentFile(context, path)))
  const unreadable = files.flatMap(file => file.ok ? [] : [file.error])
  if (unreadable.length > 0) return unreadable
  const lines = files
    .flatMap(file => file.ok ? Buffer.from(file.value).toString('utf8').split('\n') : [])
    .map(parseLine)
    .filter(({ time }) => time !== '')
    .sort((first, second) => first.time < second.time ? -1 : 1)
  const own = lines.filter(({ fields }) => fields.get('request') === request)
  const last = own.at(-1)
  if (last === undefined) {
    return [fail(ResultCode.RequestNotLogged, `no log line names request ${request}`, { key: request, expected: 'the id of a request in the files given' }).error]
  }
  const hosts = new Set(own.map(({ fields }) => fields.get('host')))
  const servers = new Set(own.map(({ fields }) => fields.get('server')).filter(server => server !== undefined))
  const before = lines.filter(({ time, fields }) => time <= last.time && hosts.has(fields.get('host')) && !fields.has('request'))
  const beliefs = [...beliefEvents].flatMap(event => before.filter(({ fields }) => fields.get('event') === event).at(-1) ?? [])
  const changes = [...servers].flatMap(server => before.filter(({ fields }) => fields.get('event') === 'server changed' && fields.get('server') === server).at(-1) ?? [])
  ;[...new Set([...beliefs, ...changes, ...own])]
    .sort((first, second) => first.time < second.time ? -1 : 1)
    .forEach(({ text }) => context.writeOutput(text))
  return []
}

function parseLine (text: string): LogLine {
  const fields = new Map([...text.matchAll(/([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S*)/g)].map(([, key = '', value = '']): [string, string] => [key, readValue(value)]))
  return { text, time: fields.get('time') ?? '', fields }
}

function readValue (value: string): string {
  if (!value.startsWith('"')) return value
  try {
    return String(JSON.parse(value))
  } catch {
    return value
  }
}
