"""Responses that are nested too deeply, without a network."""

from typing import Any

import pytest
from parsleyrudder import BackendError, CompletionStream, Range, TableError, Txn
from parsleyrudder_adapters.engines import HttpEngines
from parsleyrudder_adapters.etcd import EtcdTable
from parsleyrudder_adapters.instances import HttpInstanceList

NESTED = b'{"x": %s%s}' % (b"[" * 5000, b"]" * 5000)


class Client:
    """Responds to each request at once."""

    def __init__(self, body):
        self.body = body

    def send(self, address, request, listener, timeout_s):
        listener.on_head(200, [])
        listener.on_data(self.body)
        listener.on_end()


@pytest.mark.parametrize("name", ["load", "state", "cache events", "instances", "table"])
def test_the_reader_of_a_nested_response_learns_that_it_failed(name):
    """It was not called back, and so did not read again."""
    client: Any = Client(b"[%s]" % NESTED if name == "instances" else NESTED)
    results: list[Any] = []
    engines = HttpEngines(client)
    if name == "load":
        engines.load("h:1", results.append)
    elif name == "state":
        engines.state("h:1", results.append)
    elif name == "cache events":
        engines.cache_events("h:1", 0, results.append)
    elif name == "instances":
        HttpInstanceList(client, "h:1").read(results.append)
    else:
        EtcdTable(client, "h:1").txn(Txn(reads=(Range("a"),)), results.append)
    assert [type(result) for result in results] == [TableError if name == "table" else BackendError]


def test_a_nested_event_of_an_engine_makes_its_stream_unusable():
    stream = CompletionStream("r1")
    stream.begin(None)
    assert stream.feed(b"data: " + NESTED + b"\n\n").events == b""
    assert stream.error
