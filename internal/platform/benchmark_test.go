package platform_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/platform"
	standin "github.com/oleanderspool/oleanderspool/internal/standin/platform"
)

// countingListener counts the bytes read and written on the connections that it
// accepts.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// serveCounted serves a platform stand-in and returns a client of it and the
// number of bytes on the wire.
func serveCounted(b *testing.B, p *standin.Platform) (*platform.Client, *atomic.Int64) {
	server := httptest.NewUnstartedServer(p)
	l := &countingListener{Listener: server.Listener}
	server.Listener = l
	server.Start()
	b.Cleanup(server.Close)
	return platform.NewClient(l.Addr().String()), &l.bytes
}

// BenchmarkInstances measures one poll of the instance list.
func BenchmarkInstances(b *testing.B) {
	for _, n := range []int{20, 200, 2000, 12_830} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			p := standin.New(standin.WithInstanceLag(0))
			list := make([]oleanderspool.InstanceState, n)
			for i := range list {
				list[i] = oleanderspool.InstanceState{
					Instance: oleanderspool.InstanceID(fmt.Sprintf("runner-%05d", i)), DataCentre: "region-1-dc-2",
					Address: fmt.Sprintf("10.1.%d.%d:7180", i/256, i%256), Role: "model",
				}
			}
			p.SetInstances(list)
			client, bytes := serveCounted(b, p)
			b.ReportAllocs()
			polls := 0
			for b.Loop() {
				got, err := client.Instances(context.Background())
				if err != nil || len(got) != n {
					b.Fatal(len(got), err)
				}
				polls++
			}
			b.ReportMetric(float64(bytes.Load())/float64(polls), "wire-B/poll")
		})
	}
}

// BenchmarkRead measures one read of the log by the size of the returned record;
// size 0 is a long poll that ends without a record.
func BenchmarkRead(b *testing.B) {
	for _, size := range []int{0, 250, 20_000} {
		b.Run(fmt.Sprintf("record=%d", size), func(b *testing.B) {
			p := standin.New(standin.WithAppendRate(1e9))
			client, bytes := serveCounted(b, p)
			if size > 0 {
				if _, err := client.Append(context.Background(), oleanderspool.StreamConfiguration, [][]byte{make([]byte, size)}); err != nil {
					b.Fatal(err)
				}
				bytes.Store(0)
			}
			b.ReportAllocs()
			reads := 0
			for b.Loop() {
				if _, _, err := client.Read(context.Background(), oleanderspool.StreamConfiguration, 1, 500, 0); err != nil {
					b.Fatal(err)
				}
				reads++
			}
			b.ReportMetric(float64(bytes.Load())/float64(reads), "wire-B/read")
		})
	}
}
