import msgspec

from passgate.clients import cost


def test_measure_prints_every_cost(capfd):
    cost.measure(requests=4, width=2, streams=2, chunks=3, open_streams=3)
    lines = capfd.readouterr().out.splitlines()
    names = [msgspec.json.decode(line, type=cost.Cost).name for line in lines]
    assert names == [
        "open_stream",
        "request_plain_tornado",
        "request_repeat",
        "request_once",
        "request_once_on_fresh_connection",
        "chunk_paced",
        "chunk_in_bulk",
    ]
